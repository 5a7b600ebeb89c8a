package org.onyxhinge.core.place;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/** Calls of streams that go on, and new ones, while targets of three versions come, go and change their roles. */
class ContinuedStreamProperties {

    private static final String SERVICE = "writers";
    private static final int TARGETS = 12;
    private static final int STEPS = 400;
    private static final int VERSIONS = 3;
    private static final TargetRole[] ROLES = TargetRole.values();

    private final Map<String, TargetRole> roles = new HashMap<>();
    private final List<Verdict.Send> running = new ArrayList<>();
    private Placement placement;

    private static String version(int n) {
        return "v" + n % VERSIONS;
    }

    private static Target target(int n, String dataCentre) {
        return new Target("t" + n, 0, SERVICE, version(n), "10.0.0.1", 80, dataCentre, 3, true, 0);
    }

    private static Call call(Random random, long nowMs) {
        boolean continues = random.nextInt(3) == 0;
        return Call.of(SERVICE, nowMs)
                .rank(random.nextInt(3), false)
                .times(nowMs + 400, nowMs + 1_000)
                .work(600, 20)
                .avoid(random.nextInt(4) == 0 ? Set.of("t" + random.nextInt(TARGETS)) : Set.of())
                .version(continues ? Optional.of(version(random.nextInt(VERSIONS))) : Optional.empty())
                .build();
    }

    private void check(Verdict verdict) {
        if (verdict instanceof Verdict.Send s) {
            running.add(s);
            Target target = s.target().info();
            TargetRole role = roles.getOrDefault(target.version(), TargetRole.SERVING);
            assertThat(s.call().avoid().contains(target.id()), is(false));
            if (s.call().version().isPresent()) {
                assertThat(target.version(), is(s.call().version().get()));
                assertThat(role, not(TargetRole.WITHHELD));
                assertThat(role, not(TargetRole.TRIAL));
            } else {
                assertThat(role, is(TargetRole.SERVING));
            }
        }
    }

    /** Guards against any order of events in which a stream is placed on another version, or a new call on one. */
    @Property(tries = 200, seed = "49")
    void callIsOnlySentWhereItsVersionAndTheRolesAllow(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 33) int routers) {
        Random random = new Random(seed);
        roles.clear();
        running.clear();
        placement = Placement.create("r0", "here", PlacementSettings.defaults(), (peer, target) -> {});
        for (int i = 1; i < routers; i++) {
            placement.routerSeen("r" + i, i % 2 == 0 ? "here" : "there");
            placement.peerUses("r" + i, Map.of());
        }
        for (int i = 0; i < TARGETS; i++) {
            placement.targetSeen(target(i, i % 2 == 0 ? "here" : "there"));
        }
        for (long nowMs = 0; nowMs < STEPS; nowMs++) {
            step(random, nowMs);
        }
    }

    private void step(Random random, long nowMs) {
        switch (random.nextInt(20)) {
            case 0 -> placement.targetGone("t" + random.nextInt(TARGETS));
            case 1, 2 -> placement.targetSeen(target(random.nextInt(TARGETS), "here"));
            case 3 -> {
                roles.put(version(random.nextInt(VERSIONS)), ROLES[random.nextInt(ROLES.length)]);
                Map<String, TargetRole> now = Map.copyOf(roles);
                placement.versionRoles(SERVICE, v -> now.getOrDefault(v, TargetRole.SERVING));
            }
            case 4, 5, 6, 7 -> {
                if (!running.isEmpty()) {
                    Verdict.Send ended = running.remove(random.nextInt(running.size()));
                    placement.ended(ended.call(), ended.target(), false, nowMs);
                }
            }
            case 8, 9, 10 -> placement.pump(nowMs).forEach(this::check);
            default -> check(placement.submit(call(random, nowMs), nowMs));
        }
    }
}
