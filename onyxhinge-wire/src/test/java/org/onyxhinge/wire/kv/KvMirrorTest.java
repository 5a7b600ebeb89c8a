package org.onyxhinge.wire.kv;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

class KvMirrorTest {

    /** Longer than the mirror waits for keys to be written again. */
    private static final long AFTER_REWRITE_MS = 2_500;

    private final Vertx vertx = Vertx.vertx();
    private final FakeKvStore store = new FakeKvStore();
    private final List<String> reported = new CopyOnWriteArrayList<>();

    /** Number of changes that the listener still fails to apply, of those whose text starts as given. */
    private final AtomicInteger failures = new AtomicInteger();

    private String failing = "";

    private final class Recorder implements KvMirror.Listener {

        private void failIfAsked(String change) {
            if (change.startsWith(failing) && failures.getAndUpdate(n -> Math.max(0, n - 1)) > 0) {
                throw new IllegalStateException("test: " + change);
            }
        }

        @Override
        public void put(KvEntry entry) {
            failIfAsked(entry.key() + "=" + entry.text());
            reported.add(entry.key() + "=" + entry.text());
        }

        @Override
        public void deleted(String key) {
            failIfAsked(key + " deleted");
            reported.add(key + " deleted");
        }

        @Override
        public void revisionReached(long revision) {
            failIfAsked("reached");
        }

        @Override
        public boolean uses(KvEntry entry) {
            return !entry.key().equals("unused");
        }

        @Override
        public void updatePending(String key) {
            reported.add(key + " pending");
        }

        @Override
        public void restored() {
            reported.add("restored");
        }
    }

    @BeforeEach
    void mirror() {
        store.write("kept", "1");
        store.write("gone", "1");
        KvMirror.start(vertx, store, "", new Recorder());
        reported.clear();
    }

    @AfterEach
    void close() {
        vertx.close();
    }

    /** Guards against a watch that is behind a read of one key and undoes newer updates. */
    @Nested
    class ReadAheadOfTheWatch {

        private final List<String> ahead = new CopyOnWriteArrayList<>();
        private final KvMirror mirror = KvMirror.create(vertx, store, "", new KvMirror.Listener() {

            @Override
            public void put(KvEntry entry) {
                ahead.add(entry.key() + "=" + entry.text());
            }

            @Override
            public void deleted(String key) {
                ahead.add(key + " deleted");
            }

            @Override
            public void revisionReached(long revision) {
                // Not looked at here.
            }
        });

        @BeforeEach
        void start() {
            mirror.start();
            ahead.clear();
        }

        private KvMessage.Reply reply(String key) {
            return store.range(key).result();
        }

        @Test
        void reportsANewEntryOnce() {
            store.write("kept", "2");
            assertThat(mirror.applyKey("kept", reply("kept")), is(true));
            assertThat(mirror.applyKey("kept", reply("kept")), is(true));
            store.deliver();
            assertThat(ahead, contains("kept=2"));
        }

        @Test
        void keepsANewerEntryWhenOlderChangesFollow() {
            store.write("kept", "2");
            store.remove("kept");
            store.write("kept", "3");
            assertThat(mirror.applyKey("kept", reply("kept")), is(true));
            store.deliver();
            assertThat(ahead, contains("kept=3"));
        }

        @Test
        void isNotAppliedIfTheMirrorIsNewer() {
            KvMessage.Reply before = reply("kept");
            store.write("kept", "2");
            store.deliver();
            assertThat(mirror.applyKey("kept", before), is(false));
        }

        @Test
        void isNotAppliedForAMissingKey() {
            assertThat(mirror.applyKey("none", reply("none")), is(false));
        }

        @Test
        void isNotAppliedAfterARestore() {
            KvMessage.Reply r = reply("kept");
            long restored = KvRevision.of(KvRevision.epoch(r.revision()) + 1, 9);
            assertThat(
                    mirror.applyKey("kept", new KvMessage.Reply(0, KvStatus.OK, restored, r.entries(), 0)), is(false));
        }
    }

    /** Guards against values of other writers that fill the memory, or the messages to other mirrors. */
    @Test
    void valuesOfNoUseAreNotPassedOn() {
        KvMirror mirror = KvMirror.create(vertx, store, "", new Recorder());
        mirror.start();
        store.write("unused", "x");
        store.deliver();
        assertThat(reported, hasItem("unused=x"));
        List<KvEntry> entries = mirror.changesSince(0).orElseThrow().entries();
        assertThat(
                entries.stream().map(e -> e.key() + "=" + e.text()).toList(),
                containsInAnyOrder("unused=", "kept=1", "gone=1"));
    }

    /** Guards against what is read ahead of the watch, or by another mirror, and undone by older news. */
    @Nested
    class OtherWays {

        private final List<String> ahead = new CopyOnWriteArrayList<>();
        private final KvMirror mirror = KvMirror.create(vertx, store, "", new KvMirror.Listener() {

            @Override
            public void put(KvEntry entry) {
                ahead.add(entry.key() + "=" + entry.text());
            }

            @Override
            public void deleted(String key) {
                ahead.add(key + " deleted");
            }

            @Override
            public void revisionReached(long revision) {
                // Not looked at here.
            }
        });

        @BeforeEach
        void start() {
            mirror.start();
            ahead.clear();
        }

        private KvMirror otherMirror() {
            KvMirror other = KvMirror.create(vertx, store, "", new Recorder());
            other.start();
            return other;
        }

        @Test
        void aRangeTellsWhatIsNewAndWhatIsGone() {
            store.write("kept", "2");
            store.remove("gone");
            assertThat(mirror.applyRange("", store.range("").result()), is(true));
            store.deliver();
            assertThat(ahead, contains("kept=2", "gone deleted"));
        }

        @Test
        void aRangeSaysNothingAboutOtherKeys() {
            store.write("kept", "2");
            store.remove("gone");
            assertThat(mirror.applyRange("k", store.range("k").result()), is(true));
            assertThat(ahead, contains("kept=2"));
        }

        @Test
        void anOlderRangeRemovesNothing() {
            KvMessage.Reply before = store.range("").result();
            store.write("new", "1");
            store.write("kept", "2");
            store.remove("gone");
            store.deliver();
            ahead.clear();
            assertThat(mirror.applyRange("", before), is(true));
            assertThat(ahead, is(empty()));
        }

        @Test
        void aDeletedKeyIsNotBroughtBackByTheWatch() {
            store.write("gone", "2");
            store.remove("gone");
            assertThat(mirror.applyRange("", store.range("").result()), is(true));
            store.deliver();
            assertThat(ahead, contains("gone deleted"));
        }

        @Test
        void changesOfAnotherMirrorAreApplied() {
            store.write("kept", "2");
            store.remove("gone");
            store.write("new", "1");
            KvChanges changes = otherMirror().changesSince(mirror.completeTo()).orElseThrow();
            assertThat("it does not know all deletions since", changes.whole(), is(true));
            assertThat(mirror.applyChanges(changes), is(true));
            store.deliver();
            assertThat(List.copyOf(ahead).stream().sorted().toList(), contains("gone deleted", "kept=2", "new=1"));
        }

        @Test
        void onlyWhatIsNewerIsPassedOn() {
            KvMirror other = otherMirror();
            store.write("kept", "2");
            store.write("new", "1");
            store.remove("new");
            long since = mirror.completeTo();
            mirror.applyRange("k", store.range("k").result());
            store.deliver();
            KvChanges changes = other.changesSince(since).orElseThrow();
            assertThat(changes.whole(), is(false));
            assertThat(changes.entries().stream().map(KvEntry::key).toList(), contains("kept"));
            assertThat(List.copyOf(changes.deleted().keySet()), contains("new"));
            assertThat(other.changesSince(other.completeTo()).orElseThrow().entries(), is(empty()));
        }

        /** Guards against an entry that counts as deleted, or as changed, because it was too long to be passed on. */
        @Test
        void anEntryOfWhichOnlyTheKeyIsToldStaysAsItIs() {
            store.write("new", "1");
            KvChanges changes = otherMirror().changesSince(mirror.completeTo()).orElseThrow();
            assertThat("it does not know all deletions since", changes.whole(), is(true));
            assertThat(mirror.applyChanges(changes.withKeysOnly(e -> !e.key().equals("new"))), is(true));
            assertThat(ahead, contains("new=1"));
            store.write("kept", "2");
            store.deliver();
            assertThat(ahead, contains("new=1", "kept=2"));
        }

        /** Guards against proofs of a mirror that does not know yet that the service was restored. */
        @Test
        void nothingIsPassedOnBetweenEpochs() {
            store.copy();
            KvMirror behind = otherMirror();
            KvChanges before = behind.changesSince(mirror.completeTo()).orElseThrow();
            store.restore();
            store.deliver();
            assertThat(mirror.applyChanges(before), is(false));
            assertThat(mirror.changesSince(before.revision()).isPresent(), is(false));
        }
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Loses a write of {@code lost}, the deletion of {@code gone}, and a change of {@code kept}. */
    private void restoreOlderCopy() {
        store.copy();
        store.write("kept", "2");
        store.write("lost", "1");
        store.remove("gone");
        store.deliver();
        reported.clear();
        store.restore();
    }

    /** Guards against a mirror that a single failure of its listener ends for good. */
    @Nested
    class FailingListener {

        private static final long RECOVERY_MS = 1_000;
        private static final long LONG_RECOVERY_MS = 25_000;

        private void fail(String change, int times) {
            failing = change;
            failures.set(times);
        }

        private void awaitReported(String change, long withinMs) {
            long untilMs = System.currentTimeMillis() + withinMs;
            while (!reported.contains(change) && System.currentTimeMillis() < untilMs) {
                sleep(20);
                store.deliver();
            }
            assertThat(reported, hasItem(change));
        }

        @ParameterizedTest
        @ValueSource(strings = {"kept=2", "gone deleted", "reached"})
        void updatesAreReportedUntilItAppliesThem(String change) {
            fail(change, 1);
            store.write("kept", "2");
            store.remove("gone");
            store.deliver();
            awaitReported("kept=2", RECOVERY_MS);
            awaitReported("gone deleted", RECOVERY_MS);
            store.write("kept", "3");
            awaitReported("kept=3", RECOVERY_MS);
        }

        @Test
        void otherChangesAreReportedWhileItFails() {
            fail("kept=2", Integer.MAX_VALUE);
            store.write("kept", "2");
            store.write("other", "1");
            store.deliver();
            awaitReported("other=1", RECOVERY_MS);
            store.write("other", "2");
            awaitReported("other=2", 10 * RECOVERY_MS);
        }

        /** Guards against changes of other keys that wait until the service is read again. */
        @Test
        void otherChangesAreReportedAtOnceWhileItFails() {
            fail("kept=", Integer.MAX_VALUE);
            for (int i = 2; i < 10; i++) {
                store.write("kept", Integer.toString(i));
                store.write("other", Integer.toString(i));
                store.deliver();
                assertThat(reported.getLast(), is("other=" + i));
            }
        }

        /** Guards against a first read that never ends because of one key, and with it no watch. */
        @Test
        void aMirrorThatStartsMeanwhileFollowsTheOthers() {
            fail("kept=", Integer.MAX_VALUE);
            KvMirror started = KvMirror.create(vertx, store, "", new Recorder());
            assertThat(started.start().isComplete(), is(true));
            assertThat(started.completeTo(), is(store.range("").result().revision()));
            reported.clear();
            store.write("other", "1");
            store.deliver();
            assertThat(reported, contains("other=1", "other=1"));
        }

        /** Guards against other ways to a change that are refused because of another key. */
        @Test
        void otherWaysAreOpenWhileItFails() {
            KvMirror behind = KvMirror.create(vertx, store, "", new Recorder());
            behind.start();
            fail("kept=", Integer.MAX_VALUE);
            store.write("kept", "2");
            store.write("other", "1");
            assertThat("key", behind.applyKey("other", store.range("other").result()), is(true));
            assertThat("range", behind.applyRange("", store.range("").result()), is(true));
            assertThat(
                    "key that fails",
                    behind.applyKey("kept", store.range("kept").result()),
                    is(false));
            assertThat(behind.state().pendingKeys(), contains("kept"));
            assertThat(
                    "changes",
                    behind.applyChanges(behind.changesSince(behind.completeTo()).orElseThrow()),
                    is(true));
        }

        /** Guards against a failure of the listener that nobody sees, or that lasts beyond its cause. */
        @Test
        void aFailureIsToldUntilItIsOver() {
            KvMirror mirror = KvMirror.create(vertx, store, "", new Recorder());
            mirror.start();
            fail("kept=2", 4);
            store.write("kept", "2");
            store.deliver();
            assertThat(mirror.state().pending(), is(1));
            assertThat(reported, hasItem("kept pending"));
            awaitReported("kept=2", RECOVERY_MS);
            long untilMs = System.currentTimeMillis() + RECOVERY_MS;
            while (mirror.state().pending() > 0 && System.currentTimeMillis() < untilMs) {
                sleep(20);
            }
            assertThat(mirror.state().pending(), is(0));
        }

        @Test
        void tenFailuresInARowAreOutlived() {
            fail("kept=2", 10);
            store.write("kept", "2");
            store.deliver();
            awaitReported("kept=2", LONG_RECOVERY_MS);
            store.write("kept", "3");
            awaitReported("kept=3", RECOVERY_MS);
        }
    }

    /** Guards against one reply or event with an entry that cannot be read, which hides the entry for good. */
    @Nested
    class UnreadableDescription {

        private static final long READ_AGAIN_MS = 1_000;

        private void awaitReported(String change) {
            long untilMs = System.currentTimeMillis() + READ_AGAIN_MS;
            while (!reported.contains(change) && System.currentTimeMillis() < untilMs) {
                sleep(20);
            }
            assertThat(reported, hasItem(change));
        }

        @Test
        void anEventThatCannotBeReadIsReadOtherwise() {
            store.describeUnreadably("kept", true);
            store.write("kept", "2");
            store.deliver();
            assertThat(reported, contains("kept pending"));
            store.describeUnreadably("kept", false);
            awaitReported("kept=2");
        }

        @Test
        void anEntryIsReadAgainThatOnlyOneReplyHides() {
            KvMirror mirror = KvMirror.create(vertx, store, "", new Recorder());
            mirror.start();
            store.write("other", "1");
            store.describeUnreadably("kept", true);
            assertThat(mirror.applyKey("kept", store.range("kept").result()), is(false));
            store.describeUnreadably("kept", false);
            reported.clear();
            assertThat(mirror.applyKey("kept", store.range("kept").result()), is(true));
            assertThat(reported, contains("kept=1"));
            assertThat(mirror.state().pending(), is(0));
        }

        /** Guards against a mirror that loses what it knows to one for which the entry could not be read. */
        @Test
        void itIsNotAppliedFromAnotherMirrorThatKnowsLess() {
            KvMirror mirror = KvMirror.create(vertx, store, "", new Recorder());
            mirror.start();
            store.describeUnreadably("kept", true);
            KvMirror other = KvMirror.create(vertx, store, "", new Recorder());
            other.start();
            reported.clear();
            assertThat(mirror.applyChanges(other.changesSince(0).orElseThrow()), is(true));
            assertThat(mirror.state().pending(), is(0));
            assertThat(reported, is(empty()));
        }

        /** Guards against an older reply that is applied because the newer one could not be read. */
        @Test
        void anOlderReplyDoesNotReplaceIt() {
            KvMirror mirror = KvMirror.create(vertx, store, "", new Recorder());
            mirror.start();
            KvMessage.Reply before = store.range("kept").result();
            store.write("kept", "2");
            store.describeUnreadably("kept", true);
            mirror.applyKey("kept", store.range("kept").result());
            reported.clear();
            assertThat(mirror.applyKey("kept", before), is(false));
            assertThat(reported, is(empty()));
        }
    }

    @Nested
    class Restore {

        @Test
        void isReportedBeforeTheContentsOfTheCopy() {
            restoreOlderCopy();
            store.deliver();
            assertThat(reported, contains("restored", "kept=1"));
        }

        /** Guards against changes that are ignored because their revisions were given out before the restore. */
        @Test
        void laterChangesAreReported() {
            restoreOlderCopy();
            store.write("kept", "3");
            store.deliver();
            assertThat(reported, hasItem("kept=3"));
            store.write("kept", "4");
            store.deliver();
            assertThat(reported, hasItem("kept=4"));
        }

        /** Guards against a restore that is not seen because of one entry. */
        @Test
        void isReportedAlthoughTheListenerFailsToApplyAnEntry() {
            restoreOlderCopy();
            failing = "kept=";
            failures.set(Integer.MAX_VALUE);
            store.deliver();
            assertThat(reported, contains("restored", "kept pending"));
            store.write("other", "1");
            store.deliver();
            assertThat(reported.getLast(), is("other=1"));
        }

        @Test
        void deletedKeyIsReportedOnlyOnceItIsWrittenAgain() {
            restoreOlderCopy();
            store.deliver();
            store.remove("gone");
            store.deliver();
            assertThat(reported, contains("restored", "kept=1"));
            store.write("gone", "2");
            store.deliver();
            assertThat(reported.getLast(), is("gone=2"));
        }

        @Test
        void lostKeyIsReportedAsDeletedIfItIsNotWrittenAgain() {
            restoreOlderCopy();
            store.deliver();
            sleep(AFTER_REWRITE_MS);
            assertThat(reported, contains("restored", "kept=1", "lost deleted"));
        }

        @Test
        void lostKeyThatIsWrittenAgainIsNeverReportedAsDeleted() {
            restoreOlderCopy();
            store.deliver();
            store.write("lost", "1");
            store.deliver();
            sleep(AFTER_REWRITE_MS);
            assertThat(reported, contains("restored", "kept=1", "lost=1"));
        }
    }

    @Nested
    class LostHistory {

        @Test
        void deletedKeyIsReportedAtOnce() {
            store.remove("gone");
            store.deliver();
            assertThat(reported, contains("gone deleted"));
        }

        @Test
        void unchangedKeysAreNotReportedAgain() {
            store.deliver();
            assertThat(reported, is(empty()));
        }
    }
}
