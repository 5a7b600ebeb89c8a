package org.onyxhinge.wire.kv;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.jboss.logging.Logger;
import org.onyxhinge.core.text.LogText;

/** The keys whose last update the listener of a mirror has failed to apply. Confined to the mirror's context. */
final class PendingUpdates {

    private static final Logger LOG = Logger.getLogger(PendingUpdates.class);

    /** Keys that are named; hundreds of entries may fail for one reason. */
    private static final int MAX_NAMED = 10;

    /** The key whose last attempt was longest ago comes first. */
    private final Map<String, Failure> byKey = new LinkedHashMap<>();

    /** An update that failed; times in ms by the monotonic clock. */
    private record Failure(long revision, long sinceMs, int attempts) {

        /** Whether the number of attempts is a power of two, so that the lines of one failure get rarer. */
        private boolean isLogged() {
            return Integer.bitCount(attempts) == 1;
        }
    }

    /** Records another failed attempt. */
    void failed(String key, long revision, long nowMs) {
        Failure before = byKey.remove(key);
        Failure now = before == null
                ? new Failure(revision, nowMs, 1)
                : new Failure(revision, before.sinceMs(), before.attempts() + 1);
        byKey.put(key, now);
        if (byKey.size() <= MAX_NAMED && now.isLogged()) {
            LOG.errorf(
                    "kv update pending key=%s revision=%d attempts=%d forMs=%d pending=%d",
                    LogText.of(key), revision, now.attempts(), nowMs - now.sinceMs(), byKey.size());
        }
    }

    /** Records that the last update of a key is applied. */
    void settled(String key, long nowMs) {
        if (byKey.isEmpty()) {
            return;
        }
        Failure failure = byKey.remove(key);
        if (failure != null) {
            LOG.infof(
                    "kv update applied key=%s attempts=%d afterMs=%d pending=%d",
                    LogText.of(key), failure.attempts(), nowMs - failure.sinceMs(), byKey.size());
        }
    }

    int count() {
        return byKey.size();
    }

    /** How long the oldest failure has lasted, in ms; 0 if there is none. */
    long oldestMs(long nowMs) {
        return byKey.values().stream().mapToLong(f -> nowMs - f.sinceMs()).max().orElse(0);
    }

    /** The keys, the one whose last attempt was longest ago first. */
    Stream<String> keys() {
        return byKey.keySet().stream();
    }

    /** Some of the keys, for the log and the state dump. */
    List<String> someKeys() {
        return keys().limit(MAX_NAMED).toList();
    }

    boolean contains(String key) {
        return byKey.containsKey(key);
    }
}
