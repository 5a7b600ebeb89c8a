package org.onyxhinge.tools;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

import io.vertx.core.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.tools.load.Driver;
import org.onyxhinge.tools.load.Outcome;
import org.onyxhinge.tools.load.WorkItem;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * A seeded run in which failures come in any order, together and twice, while requests keep coming and
 * every print is tried again with its key until it is answered. The program's own invariants are on in
 * every process; what must hold is checked here from outside. Only promises are asserted, never how
 * many requests got through, so the verdict does not depend on the machine's speed.
 */
class RandomFailureTest {

    private static final long SEED = Long.getLong("onyxhinge.failures.seed", 20_261_202);
    private static final int ROUNDS = Integer.getInteger("onyxhinge.failures.rounds", 14);
    private static final int DRAFT_TOKENS = 30;
    private static final int PRINT_ATTEMPTS = 4;
    private static final int REQUESTS_A_ROUND = 12;

    private final Random random = new Random(SEED);
    private final Map<String, List<Outcome>> printsByKey = new ConcurrentHashMap<>();
    private final List<Future<?>> sent = new ArrayList<>();
    private TestSite site;
    private int keys;

    @AfterEach
    void stopSite() throws Exception {
        if (site != null) {
            site.close();
        }
    }

    @Test
    void promisesHoldThroughAnySequenceOfFailures() throws Exception {
        site = TestSite.start("random")
                .engine("e1", "--decode", "100", "--max-batch", "4")
                .engine("e2", "--decode", "60", "--max-batch", "4")
                .service("p1", 80)
                .router("r1")
                .router("r2")
                .ready(3);
        Driver[] drivers = {site.driver("r1"), site.driver("r2")};
        List<List<Future<Outcome>>> drafts = List.of(new ArrayList<>(), new ArrayList<>());
        for (int round = 0; round < ROUNDS; round++) {
            for (int i = 0; i < REQUESTS_A_ROUND; i++) {
                if (random.nextBoolean()) {
                    int router = random.nextInt(2);
                    drafts.get(router).add(drivers[router].send(draft()));
                } else {
                    sent.add(print(drivers, "chaos-" + keys++, random.nextInt(2), PRINT_ATTEMPTS));
                }
            }
            breakSomething(random.nextInt(7));
        }
        heal();
        for (Future<?> f : sent) {
            Launch.await(f, PRINT_ATTEMPTS * TestSite.CALL_MS);
        }
        checkDrafts(outcomes(drafts.get(0)), false);
        checkDrafts(outcomes(drafts.get(1)), true);
        checkPrints();
        assertThat("invariants inside the program", site.logged("InvariantViolation"), is(false));
        TestSite.await(
                "the site serves again",
                () -> Launch.await(drivers[0].send(draft()), TestSite.CALL_MS).whole());
        TestSite.await(
                "the site prints again",
                () -> Launch.await(drivers[1].send(printItem("after-" + keys++)), TestSite.CALL_MS)
                        .whole());
    }

    private void breakSomething(int kind) throws Exception {
        switch (kind) {
            case 0 -> site.kvFaults(random.nextBoolean(), 0, 0);
            case 1 -> site.kvFaults(false, random.nextInt(300), 50);
            case 2 -> {
                site.kill("r2");
                site.router("r2");
            }
            case 3 -> {
                site.pause("r1");
                Thread.sleep(300 + random.nextInt(2_000));
                site.resume("r1");
            }
            case 4 -> {
                site.kill("e2");
                site.engine("e2", "--decode", "60", "--max-batch", "4");
            }
            case 5 -> {
                site.kill("agent-e1");
                site.agent("e1", "drafting");
            }
            default -> site.kvCompact();
        }
        Thread.sleep(random.nextInt(600));
    }

    private void heal() throws Exception {
        site.kvFaults(false, 0, 0);
        TestSite.await("r1 sees every target", () -> site.engines("r1").size() == 3);
    }

    private static List<Outcome> outcomes(List<Future<Outcome>> sent) {
        List<Outcome> out = new ArrayList<>();
        sent.forEach(f -> out.add(Launch.await(f, 2 * TestSite.CALL_MS)));
        return out;
    }

    /** Only a caller of a router that was killed may see its connection break without a word. */
    private void checkDrafts(List<Outcome> drafts, boolean routerKilled) {
        for (Outcome o : drafts) {
            assertThat(
                    "answered whole or told why: " + o.status(),
                    o.whole() || !o.errorType().isEmpty(),
                    is(true));
            assertThat(o.errorType(), routerKilled || !o.errorType().startsWith("transport"), is(true));
            assertThat("whole answers are whole", !o.whole() || o.tokens() == DRAFT_TOKENS, is(true));
        }
        assertThat(site.stats("e1").getLong("requestsSeenTwice"), equalTo(0L));
        assertThat(site.stats("e2").getLong("requestsSeenTwice"), equalTo(0L));
    }

    private void checkPrints() {
        assertThat(site.stats("p1").getLong("keysRunTwice"), equalTo(0L));
        Set<String> run = site.stats("p1").getJsonArray("keys").stream()
                .map(String::valueOf)
                .collect(Collectors.toSet());
        Map<String, List<Outcome>> toldNotRun = new HashMap<>(printsByKey);
        toldNotRun.values().removeIf(all -> !all.stream().allMatch(Outcome::notRun));
        toldNotRun
                .values()
                .removeIf(all -> all.stream().anyMatch(o -> o.errorType().equals("already_run")));
        toldNotRun.keySet().retainAll(run);
        assertThat("told not run, but run", toldNotRun.keySet(), is(empty()));
        printsByKey.forEach((key, outcomes) -> {
            assertThat("every print was answered", outcomes, is(not(empty())));
            for (Outcome o : outcomes) {
                assertThat(
                        "a caller gets its own answer", !o.whole() || o.text().contains(key), is(true));
            }
            long whole = outcomes.stream().filter(Outcome::whole).count();
            assertThat("answered once: " + key, whole <= 1, is(true));
            assertThat("delivered but not run: " + key, whole == 0 || run.contains(key), is(true));
        });
    }

    /** Sends a print, and again on the other router until it is answered whole or was run. */
    private Future<Void> print(Driver[] drivers, String key, int router, int attempts) {
        return drivers[router].send(printItem(key)).compose(o -> {
            printsByKey.computeIfAbsent(key, k -> new ArrayList<>()).add(o);
            boolean over = o.whole() || o.errorType().equals("already_run") || attempts <= 1;
            return over ? Future.succeededFuture() : print(drivers, key, 1 - router, attempts - 1);
        });
    }

    private static WorkItem printItem(String key) {
        return new WorkItem(0, "printers-night", "drafting", "print-instruction", "", 0, 10, 1, key, true);
    }

    private static WorkItem draft() {
        return new WorkItem(0, "account-staff", "drafting", "draft-letter", "c", 20, 10, DRAFT_TOKENS, "", false);
    }
}
