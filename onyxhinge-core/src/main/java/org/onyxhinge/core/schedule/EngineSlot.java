package org.onyxhinge.core.schedule;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import org.onyxhinge.core.model.RequestSpec;

/**
 * The scheduler's view of one engine: its own in-flight requests, what the last stale report said
 * about other routers' load, how much slower than announced it has lately been, and the prefixes it
 * probably caches. Owned by the scheduler's thread.
 */
final class EngineSlot {

    private static final long MS_PER_SECOND = 1_000;
    private static final double SLOWNESS_WEIGHT = 0.3;
    /** What a first token takes beside the engine's own work: connection, batch step, network. */
    private static final long FIRST_TOKEN_OVERHEAD_MS = 50;

    private static final double MAX_SLOWNESS = 16.0;

    private final EngineInfo info;
    private final Map<String, Running> running = new LinkedHashMap<>();
    private final PrefixMemory prefixes;
    private int othersInFlight;
    private boolean draining;
    private boolean unreachable;
    private long lastHeardAtMs;
    private int fullBelowRank = Integer.MAX_VALUE;
    private long fullUntilMs;
    private double actualFirstTokenMs;
    private double nominalFirstTokenMs;
    private double slowness = 1.0;

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
        return !draining && !unreachable && !silentFor(silentMs, nowMs);
    }

    boolean silentFor(long silentMs, long nowMs) {
        return nowMs - lastHeardAtMs > silentMs;
    }

    boolean hasFreeSlot() {
        return freeSlots() > 0;
    }

    int freeSlots() {
        return Math.max(0, info.maxBatch() - inFlight());
    }

    /** This router's requests here of a tier above {@code rank}. */
    int ownAbove(int rank) {
        int n = 0;
        for (Running r : running.values()) {
            n += r.rank() < rank ? 1 : 0;
        }
        return n;
    }

    /** Requests in progress there, this router's and, as last reported, the others'. */
    int inFlight() {
        return running.size() + othersInFlight;
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

    double slowness() {
        return slowness;
    }

    void add(Running r) {
        running.put(r.spec().requestId(), r);
        prefixes.remember(r.spec().prefixHash());
    }

    Running remove(String requestId) {
        return running.remove(requestId);
    }

    /**
     * Notes a first token and learns from it how much slower than announced the engine is: engines
     * slow down without saying so, and their reports are late. Times are smoothed before they are
     * compared, so long prompts, which show a slowdown best, count most.
     */
    void markFirstToken(String requestId, long nowMs) {
        Running r = running.get(requestId);
        if (r == null || r.firstTokenSeen()) {
            return;
        }
        running.put(requestId, r.withFirstToken());
        double actualMs = Math.max(0, nowMs - r.dispatchedAtMs() - FIRST_TOKEN_OVERHEAD_MS);
        actualFirstTokenMs += SLOWNESS_WEIGHT * (actualMs - actualFirstTokenMs);
        nominalFirstTokenMs += SLOWNESS_WEIGHT * (r.nominalFirstTokenMs() - nominalFirstTokenMs);
        slowness = Math.min(MAX_SLOWNESS, Math.max(1.0, actualFirstTokenMs / Math.max(1, nominalFirstTokenMs)));
    }

    void heard(LoadReport report, long nowMs) {
        lastHeardAtMs = nowMs;
        draining = report.draining();
        unreachable = false;
        othersInFlight = Math.max(0, report.running() + report.waiting() - running.size());
        report.cachedPrefixes().forEach(prefixes::remember);
    }

    /** Another router stopped one of its requests here. */
    void roomMade() {
        othersInFlight = Math.max(0, othersInFlight - 1);
    }

    /** No other router had work here of a tier below {@code rank}; true until {@code untilMs}. */
    void noRoomBelow(int rank, long untilMs) {
        fullBelowRank = rank;
        fullUntilMs = untilMs;
    }

    /** True when another router may run lower-tier work here whose stopping would let {@code spec} start. */
    boolean othersMayMakeRoom(RequestSpec spec, long nowMs) {
        boolean knownFull = nowMs < fullUntilMs && spec.tier().rank() >= fullBelowRank;
        return othersInFlight > 0
                && !knownFull
                && inFlight() <= info.maxBatch()
                && nowMs + firstTokenEstimateMs(spec) <= spec.firstTokenDueAtMs();
    }

    void drain() {
        draining = true;
    }

    /** Takes the engine out of routing until its agent is heard again. */
    void markUnreachable() {
        unreachable = true;
    }

    /**
     * Estimates the time from now to this request's first token here: the prompt tokens still to be
     * prefilled ahead of it plus its own uncached ones, at the engine's prefill rate, plus one decode
     * step, all times the slowness lately seen.
     */
    long firstTokenEstimateMs(RequestSpec spec) {
        return firstTokenEstimateMs(spec, Set.of());
    }

    /** The same estimate as if the requests in {@code without} were no longer here. */
    long firstTokenEstimateMs(RequestSpec spec, Set<String> without) {
        return (long) (nominalFirstTokenMs(spec, without) * slowness);
    }

    /** The estimate at the announced speed. */
    long nominalFirstTokenMs(RequestSpec spec, Set<String> without) {
        long ahead = 0;
        for (Running r : running.values()) {
            if (!r.firstTokenSeen() && !without.contains(r.spec().requestId())) {
                ahead += uncachedTokens(r.spec());
            }
        }
        return prefillMs(ahead + uncachedTokens(spec)) + decodeStepMs();
    }

    /** The time from dispatch to the last token at the announced speed, if it uses all its tokens. */
    long nominalServiceMs(RequestSpec spec) {
        return nominalFirstTokenMs(spec, Set.of()) + spec.maxTokens() * MS_PER_SECOND / info.decodeTokensPerSecond();
    }

    /**
     * When a running request is expected to end, never in the past.
     *
     * @param lengthFactor how much of their estimated time requests of the pool have lately taken
     */
    long expectedEndMs(Running r, double lengthFactor, long nowMs) {
        long ms = (long) (r.nominalServiceMs() * slowness * lengthFactor);
        return Math.max(nowMs + 1, r.dispatchedAtMs() + ms);
    }

    /** The estimate on this engine with nothing else waiting for prefill, at the announced speed. */
    long idleEstimateMs(RequestSpec spec) {
        return prefillMs(uncachedTokens(spec)) + decodeStepMs();
    }

    /** Prompt tokens of {@code r} the engine has worked on for nothing if it is stopped now. */
    long sunkPrefillTokens(Running r) {
        return r.firstTokenSeen() ? r.spec().promptTokens() : 0;
    }

    private long prefillMs(long tokens) {
        return tokens * MS_PER_SECOND / info.prefillTokensPerSecond();
    }

    private long decodeStepMs() {
        return MS_PER_SECOND / info.decodeTokensPerSecond();
    }

    private long uncachedTokens(RequestSpec spec) {
        boolean cached = spec.prefixHash() != 0 && prefixes.holds(spec.prefixHash());
        return spec.promptTokens() - (cached ? Math.min(spec.prefixTokens(), spec.promptTokens()) : 0);
    }
}
