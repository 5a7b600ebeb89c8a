package org.onyxhinge.core.schedule;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import org.onyxhinge.core.model.RequestSpec;

/**
 * The scheduler's view of one engine: this router's in-flight requests, the load of other routers from the last (stale)
 * report, the observed slowdown against the announced speed, and the prefixes that are probably cached. Confined to the
 * scheduler's thread.
 */
final class EngineState {

    private static final long MS_PER_SECOND = 1_000;
    private static final double SLOWNESS_WEIGHT = 0.3;
    /** Latency of a first token outside the engine's own work: connection, batch step and network. */
    private static final long FIRST_TOKEN_OVERHEAD_MS = 50;

    private static final double MAX_SLOWNESS = 16.0;

    private final EngineInfo info;
    private final Map<String, RunningRequest> running = new LinkedHashMap<>();
    private final PrefixCacheEstimate prefixes;
    private int othersInFlight;
    private boolean draining;
    private boolean unreachable;
    private long lastSeenAtMs;
    private int noVictimBelowRank = Integer.MAX_VALUE;
    private long noVictimUntilMs;
    private double actualFirstTokenMs;
    private double nominalFirstTokenMs;
    private double slowness = 1.0;

    EngineState(EngineInfo info, int prefixCapacity, long nowMs) {
        this.info = info;
        this.prefixes = new PrefixCacheEstimate(prefixCapacity);
        this.lastSeenAtMs = nowMs;
    }

    EngineInfo info() {
        return info;
    }

    String id() {
        return info.engineId();
    }

    boolean usable(long nowMs, long silentMs) {
        return !draining && !unreachable && !silentFor(silentMs, nowMs);
    }

    boolean silentFor(long silentMs, long nowMs) {
        return nowMs - lastSeenAtMs > silentMs;
    }

    boolean hasFreeSlot() {
        return freeSlots() > 0;
    }

    int freeSlots() {
        return Math.max(0, info.maxBatch() - inFlight());
    }

    /** Number of this router's requests here whose tier is above {@code rank}. */
    int ownRunningAbove(int rank) {
        int n = 0;
        for (RunningRequest r : running.values()) {
            n += r.rank() < rank ? 1 : 0;
        }
        return n;
    }

    /** Requests in progress here: this router's own plus those of other routers as last reported. */
    int inFlight() {
        return running.size() + othersInFlight;
    }

    Collection<RunningRequest> running() {
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

    long lastSeenAtMs() {
        return lastSeenAtMs;
    }

    double slowness() {
        return slowness;
    }

    void add(RunningRequest r) {
        running.put(r.spec().requestId(), r);
        prefixes.markCached(r.spec().prefixHash());
    }

    RunningRequest remove(String requestId) {
        return running.remove(requestId);
    }

    /**
     * Records a first token and updates the slowdown estimate: engines become slower without announcing it, and their
     * reports arrive late. Actual and nominal times are smoothed before their ratio is taken, so that long prompts,
     * which show a slowdown most clearly, weigh most.
     */
    void markFirstToken(String requestId, long nowMs) {
        RunningRequest r = running.get(requestId);
        if (r == null || r.firstTokenSeen()) {
            return;
        }
        running.put(requestId, r.withFirstToken());
        double actualMs = Math.max(0, nowMs - r.dispatchedAtMs() - FIRST_TOKEN_OVERHEAD_MS);
        actualFirstTokenMs += SLOWNESS_WEIGHT * (actualMs - actualFirstTokenMs);
        nominalFirstTokenMs += SLOWNESS_WEIGHT * (r.nominalFirstTokenMs() - nominalFirstTokenMs);
        slowness = Math.min(MAX_SLOWNESS, Math.max(1.0, actualFirstTokenMs / Math.max(1, nominalFirstTokenMs)));
    }

    void applyReport(LoadReport report, long nowMs) {
        lastSeenAtMs = nowMs;
        draining = report.draining();
        unreachable = false;
        othersInFlight = Math.max(0, report.running() + report.waiting() - running.size());
        report.cachedPrefixes().forEach(prefixes::markCached);
    }

    /** Accounts for a request that another router preempted here. */
    void otherRouterPreempted() {
        othersInFlight = Math.max(0, othersInFlight - 1);
    }

    /** Records that no other router had a request here of a tier below {@code rank}; valid until {@code untilMs}. */
    void noVictimBelow(int rank, long untilMs) {
        noVictimBelowRank = rank;
        noVictimUntilMs = untilMs;
    }

    /** True when another router may run lower-tier work here whose preemption would let {@code spec} start. */
    boolean othersMayPreempt(RequestSpec spec, long nowMs) {
        boolean knownNoVictim = nowMs < noVictimUntilMs && spec.tier().rank() >= noVictimBelowRank;
        return othersInFlight > 0
                && !knownNoVictim
                && inFlight() <= info.maxBatch()
                && nowMs + firstTokenEstimateMs(spec) <= spec.firstTokenDueAtMs();
    }

    void drain() {
        draining = true;
    }

    /** Excludes the engine from routing until the next report from its agent. */
    void markUnreachable() {
        unreachable = true;
    }

    /**
     * Estimates the time from now to this request's first token here: the prompt tokens still to be prefilled ahead of
     * it plus its own uncached ones, at the engine's prefill rate, plus one decode step, multiplied by the observed
     * slowdown.
     */
    long firstTokenEstimateMs(RequestSpec spec) {
        return firstTokenEstimateMs(spec, Set.of());
    }

    /** The same estimate without the requests in {@code excluded}. */
    long firstTokenEstimateMs(RequestSpec spec, Set<String> excluded) {
        return (long) (nominalFirstTokenMs(spec, excluded) * slowness);
    }

    /** The estimate at the announced speed. */
    long nominalFirstTokenMs(RequestSpec spec, Set<String> excluded) {
        long ahead = 0;
        for (RunningRequest r : running.values()) {
            if (!r.firstTokenSeen() && !excluded.contains(r.spec().requestId())) {
                ahead += uncachedTokens(r.spec());
            }
        }
        return prefillMs(ahead + uncachedTokens(spec)) + decodeStepMs();
    }

    /** The time from dispatch to the last token at the announced speed, if all requested tokens are generated. */
    long nominalServiceMs(RequestSpec spec) {
        return nominalFirstTokenMs(spec, Set.of()) + spec.maxTokens() * MS_PER_SECOND / info.decodeTokensPerSecond();
    }

    /**
     * The expected end of a running request, never in the past.
     *
     * @param lengthFactor recent ratio of actual to estimated service time in the pool
     */
    long expectedEndMs(RunningRequest r, double lengthFactor, long nowMs) {
        long ms = (long) (r.nominalServiceMs() * slowness * lengthFactor);
        return Math.max(nowMs + 1, r.dispatchedAtMs() + ms);
    }

    /** The first-token estimate with an empty prefill queue, at the announced speed. */
    long idleEstimateMs(RequestSpec spec) {
        return prefillMs(uncachedTokens(spec)) + decodeStepMs();
    }

    /** Prompt tokens of {@code r} whose prefill is wasted if the request is stopped now. */
    long lostPrefillTokens(RunningRequest r) {
        return r.firstTokenSeen() ? r.spec().promptTokens() : 0;
    }

    private long prefillMs(long tokens) {
        return tokens * MS_PER_SECOND / info.prefillTokensPerSecond();
    }

    private long decodeStepMs() {
        return MS_PER_SECOND / info.decodeTokensPerSecond();
    }

    private long uncachedTokens(RequestSpec spec) {
        boolean cached = spec.prefixHash() != 0 && prefixes.mayContain(spec.prefixHash());
        return spec.promptTokens() - (cached ? Math.min(spec.prefixTokens(), spec.promptTokens()) : 0);
    }
}
