package org.onyxhinge.core.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Bytes buffered for callers that read slowly, and which of these callers to cut. While all bytes together exceed their
 * limit, the callers with the most bytes are cut at once. A caller above the limit for one caller is cut when it has
 * read nothing for some time: a large response to a caller that reads is no reason to cut it.
 *
 * <p>Not thread-safe: confined to one thread. Times are milliseconds of one monotonic clock.
 *
 * @param <K> identifies a caller's connection
 */
public final class ReaderBuffers<K> {

    private final long connectionBytes;
    private final long totalBytes;
    private final long stallMs;
    private final Map<K, Entry> entries = new HashMap<>();
    private long bufferedBytes;

    /** Why a caller is cut. */
    public enum Reason {
        /** It reads nothing and holds more than one connection may. */
        STALLED,
        /** All connections together hold too much, and it holds the most. */
        TOTAL_LIMIT
    }

    /**
     * A caller to be cut.
     *
     * @param reader its connection
     * @param bytes what was buffered for it
     * @param unreadMs how long it had read nothing
     * @param reason why it is cut
     */
    public record Cut<K>(K reader, long bytes, long unreadMs, Reason reason) {}

    private static final class Entry {
        private long bytes;
        private long lastReadAtMs;
    }

    private ReaderBuffers(long connectionBytes, long totalBytes, long stallMs) {
        this.connectionBytes = connectionBytes;
        this.totalBytes = totalBytes;
        this.stallMs = stallMs;
    }

    /**
     * Creates an instance without any bytes.
     *
     * @param connectionBytes limit per connection; 0 for none
     * @param totalBytes limit for all connections together; 0 for none
     * @param stallMs how long a caller above the limit per connection may read nothing
     */
    public static <K> ReaderBuffers<K> create(long connectionBytes, long totalBytes, long stallMs) {
        return new ReaderBuffers<>(connectionBytes, totalBytes, stallMs);
    }

    /** Records bytes that wait for a caller. The time without reading starts with the first of them. */
    public void buffered(K reader, long bytes, long nowMs) {
        Entry entry = entries.computeIfAbsent(reader, r -> {
            Entry added = new Entry();
            added.lastReadAtMs = nowMs;
            return added;
        });
        entry.bytes += bytes;
        bufferedBytes += bytes;
    }

    /** Records that a caller has read something. */
    public void progressed(K reader, long nowMs) {
        Entry entry = entries.get(reader);
        if (entry != null) {
            entry.lastReadAtMs = nowMs;
        }
    }

    /** Records that bytes no longer wait for a caller. Has no effect for a caller that was cut. */
    public void released(K reader, long bytes) {
        Entry entry = entries.get(reader);
        if (entry != null) {
            entry.bytes -= bytes;
            bufferedBytes -= bytes;
            if (entry.bytes <= 0) {
                entries.remove(reader);
            }
        }
    }

    /** True if all connections together hold more than their limit. */
    public boolean aboveTotal() {
        return totalBytes > 0 && bufferedBytes > totalBytes;
    }

    /** Removes the callers that must be cut now, and returns them in the order in which they were chosen. */
    public List<Cut<K>> cut(long nowMs) {
        List<Cut<K>> cuts = new ArrayList<>();
        while (aboveTotal()) {
            Optional<K> largest = largest();
            if (largest.isEmpty()) {
                break;
            }
            cuts.add(remove(largest.get(), nowMs, Reason.TOTAL_LIMIT));
        }
        if (connectionBytes > 0) {
            entries.entrySet().stream()
                    .filter(e -> e.getValue().bytes > connectionBytes && nowMs - e.getValue().lastReadAtMs >= stallMs)
                    .map(Map.Entry::getKey)
                    .toList()
                    .forEach(k -> cuts.add(remove(k, nowMs, Reason.STALLED)));
        }
        return cuts;
    }

    /** The caller with the most bytes; of equal ones, the one that has not read for the longest time. */
    private Optional<K> largest() {
        Comparator<Map.Entry<K, Entry>> byBytes = Comparator.comparingLong(e -> e.getValue().bytes);
        return entries.entrySet().stream()
                .max(byBytes.thenComparing(e -> -e.getValue().lastReadAtMs))
                .map(Map.Entry::getKey);
    }

    private Cut<K> remove(K reader, long nowMs, Reason reason) {
        Entry entry = entries.remove(reader);
        bufferedBytes -= entry.bytes;
        return new Cut<>(reader, entry.bytes, nowMs - entry.lastReadAtMs, reason);
    }

    /** Bytes buffered for all callers together. */
    public long bufferedBytes() {
        return bufferedBytes;
    }

    /** Number of callers that bytes are buffered for. */
    public int size() {
        return entries.size();
    }

    /** The most bytes buffered for one caller. */
    public long largestBytes() {
        return entries.values().stream().mapToLong(e -> e.bytes).max().orElse(0);
    }
}
