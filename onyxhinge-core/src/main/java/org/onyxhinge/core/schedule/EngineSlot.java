package org.onyxhinge.core.schedule;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

import org.onyxhinge.core.model.RequestSpec;

/**
 * The scheduler's view of one engine: its own in-flight requests, what the last stale report said
 * about other routers' load, and the prefixes it probably caches. Owned by the scheduler's thread.
 */
final class EngineSlot {

    private static final long MS_PER_SECOND = 1_000;

    private final EngineInfo info;
    private final Map<String, Running> running = new LinkedHashMap<>();
    private final PrefixMemory prefixes;
    private int othersInFlight;
    private boolean draining;
    private long lastHeardAtMs;

    EngineSlot(EngineInfo info, int prefixCapacity, long nowMs) {
        this.info = info;
        this.prefixes = new PrefixMemory(prefixCapacity);
        this.lastHeardAtMs = nowMs;
    }

    EngineInfo info() {
        return info;
    }

    String id() {
        return info.engineId();
    }

    boolean usable(long nowMs, long silentMs) {
        return !draining && nowMs - lastHeardAtMs <= silentMs;
    }

    boolean hasFreeSlot() {
        return running.size() + othersInFlight < info.maxBatch();
    }

    Collection<Running> running() {
        return running.values();
    }

    int ownInFlight() {
        return running.size();
    }

    int othersInFlight() {
        return othersInFlight;
    }

    boolean draining() {
        return draining;
    }

    long lastHeardAtMs() {
        return lastHeardAtMs;
    }

    void add(Running r) {
        running.put(r.spec().requestId(), r);
        prefixes.remember(r.spec().prefixHash());
    }

    Running remove(String requestId) {
        return running.remove(requestId);
    }

    void markFirstToken(String requestId) {
        running.computeIfPresent(requestId, (id, r) -> r.withFirstToken());
    }

    void heard(LoadReport report, long nowMs) {
        lastHeardAtMs = nowMs;
        draining = report.draining();
        othersInFlight = Math.max(0, report.running() + report.waiting() - running.size());
        report.cachedPrefixes().forEach(prefixes::remember);
    }

    void drain() {
        draining = true;
    }

    /**
     * Estimates the time from now to this request's first token here: the prompt tokens still to be
     * prefilled ahead of it plus its own uncached ones, at the engine's prefill rate, plus one decode
     * step.
     */
    long firstTokenEstimateMs(RequestSpec spec) {
        return firstTokenEstimateMs(spec, java.util.Set.of());
    }

    /** The same estimate as if the requests in {@code without} were no longer here. */
    long firstTokenEstimateMs(RequestSpec spec, java.util.Set<String> without) {
        long ahead = 0;
        for (Running r : running.values()) {
            if (!r.firstTokenSeen() && !without.contains(r.spec().requestId())) {
                ahead += uncachedTokens(r.spec());
            }
        }
        long prefill = (ahead + uncachedTokens(spec)) * MS_PER_SECOND / info.prefillTokensPerSecond();
        return prefill + MS_PER_SECOND / info.decodeTokensPerSecond();
    }

    /** The estimate on this engine with nothing else waiting for prefill. */
    long idleEstimateMs(RequestSpec spec) {
        return uncachedTokens(spec) * MS_PER_SECOND / info.prefillTokensPerSecond()
                + MS_PER_SECOND / info.decodeTokensPerSecond();
    }

    private long uncachedTokens(RequestSpec spec) {
        boolean cached = spec.prefixHash() != 0 && prefixes.holds(spec.prefixHash());
        return spec.promptTokens() - (cached ? Math.min(spec.prefixTokens(), spec.promptTokens()) : 0);
    }
}
