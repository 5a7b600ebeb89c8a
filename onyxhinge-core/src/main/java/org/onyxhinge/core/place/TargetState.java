package org.onyxhinge.core.place;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What this router knows of one target: the registry's entry, its own calls there, what its peers say
 * they have there, and how fast and sound it has lately been.
 */
public final class TargetState {

    /** How much longer work takes on a full batch than alone, as a part; from the engines' shared steps. */
    private static final double FULL_BATCH_COST = 0.3;

    private final ServiceTargets service;
    private final String incarnation;
    private final TargetHealth health = new TargetHealth();
    private final Map<String, TargetUse> peers = new HashMap<>();
    private final Pace gapMs;
    private final Pace prefillMs;
    private final Pace plainMs;
    private Target info;
    private boolean gone;
    private int ownCalls;
    private long ownPrefillTokens;
    private int peerCalls;
    private long peerPrefillTokens;
    private final Deque<Long> leftToPeersUntilMs = new ArrayDeque<>();
    private final Deque<Long> leftToUsUntilMs = new ArrayDeque<>();
    /** Places that this router's calls have freed and that it has neither used again nor left to anyone. */
    private int freedHere;

    TargetState(ServiceTargets service, Target info) {
        this.service = service;
        this.info = info;
        this.incarnation = info.incarnation();
        this.gapMs = service.gapMs().child();
        this.prefillMs = service.prefillMs().child();
        this.plainMs = service.plainMs().child();
    }

    /** The registry's entry. */
    public Target info() {
        return info;
    }

    /** Which start of the target this is; what was learned holds for this one alone. */
    public String incarnation() {
        return incarnation;
    }

    /** This router's calls there now. */
    public int ownCalls() {
        return ownCalls;
    }

    /** Prompt tokens of this router's calls there that have not had their first event. */
    public long ownPrefillTokens() {
        return ownPrefillTokens;
    }

    /** What peers are told: this router's calls there, and the places it leaves to one of them. */
    public int claimedCalls(long nowMs) {
        return ownCalls + current(leftToPeersUntilMs, nowMs);
    }

    /** Keeps a place free for a peer for a while. */
    void leaveToPeer(long untilMs) {
        leftToPeersUntilMs.add(untilMs);
        freedHere = Math.max(0, freedHere - 1);
    }

    /** Notes a place that a peer keeps free for this router for a while. */
    void leftToUs(long untilMs) {
        leftToUsUntilMs.add(untilMs);
    }

    private static int current(Deque<Long> untilMs, long nowMs) {
        while (!untilMs.isEmpty() && untilMs.peek() <= nowMs) {
            untilMs.poll();
        }
        return untilMs.size();
    }

    /** Calls there of all routers, as far as is known. */
    public int calls() {
        return ownCalls + peerCalls;
    }

    /** True when it may get new calls: registered, not leaving. */
    public boolean takesCalls() {
        return !gone && info.ready();
    }

    void update(Target newer) {
        info = newer;
        gone = false;
    }

    void markGone() {
        gone = true;
    }

    /** Takes what peers say now in place of all they said before. */
    void peerUses(Map<String, TargetUse> byPeer) {
        List.copyOf(peers.keySet()).forEach(peer -> peerUse(peer, null));
        byPeer.forEach(this::peerUse);
    }

    /** Notes what a peer has there; an absent use clears it. */
    void peerUse(String peer, TargetUse use) {
        TargetUse before = use == null ? peers.remove(peer) : peers.put(peer, use);
        peerCalls += (use == null ? 0 : use.calls()) - (before == null ? 0 : before.calls());
        peerPrefillTokens += (use == null ? 0 : use.prefillTokens()) - (before == null ? 0 : before.prefillTokens());
    }

    /** Places free for this router: those a peer leaves to it count as taken in what the peer says. */
    int freeSlots(long nowMs) {
        int leftToUs = current(leftToUsUntilMs, nowMs);
        return info.slots() - calls() - current(leftToPeersUntilMs, nowMs) + leftToUs;
    }

    boolean hasRoom(long nowMs) {
        if (!takesCalls() || health.paused(nowMs)) {
            return false;
        }
        return health.onProbation() ? ownCalls == 0 : freeSlots(nowMs) > 0;
    }

    double failureRate() {
        return health.failureRate();
    }

    /** Time to the first byte of {@code call}'s answer if it went there now. */
    public double firstByteMs(Call call) {
        if (call.promptTokens() == 0) {
            return plainMs.valueMs();
        }
        long ahead = ownPrefillTokens + peerPrefillTokens;
        return (ahead + call.promptTokens()) * prefillMs.valueMs() + gapMs.valueMs();
    }

    /** Time to the last byte of {@code call}'s answer if it went there now. */
    double lastByteMs(Call call) {
        double alone = firstByteMs(call) + call.outputEvents() * gapMs.valueMs();
        double load = (double) calls() / info.slots();
        return alone * (1 + FULL_BATCH_COST * load);
    }

    /** Notes that a call goes there. */
    void started(Call call) {
        ownCalls++;
        freedHere = Math.max(0, freedHere - 1);
        leftToUsUntilMs.poll();
        ownPrefillTokens += call.promptTokens();
    }

    /** Notes that the prompt has been read. */
    void prefilled(Call call) {
        ownPrefillTokens -= call.promptTokens();
    }

    void ended() {
        ownCalls--;
        freedHere++;
    }

    /** True while a place there has been freed by this router's calls, or is left to it by a peer. */
    boolean hasPlaceOfOurs(long nowMs) {
        return freedHere > 0 || current(leftToUsUntilMs, nowMs) > 0;
    }

    /** Lets go of the places that its calls have freed: they are anyone's. */
    void letGo() {
        freedHere = 0;
    }

    TargetHealth health() {
        return health;
    }

    /**
     * Learns from a first byte.
     *
     * @param tookMs time since the call was sent
     * @param readTokens prompt tokens that were to be read for it, those ahead included
     */
    void learnFirstByte(double tookMs, long readTokens) {
        if (readTokens == 0) {
            plainMs.sample(tookMs);
        } else if (readTokens >= ServiceTargets.TELLING_PROMPT_TOKENS) {
            prefillMs.sample(Math.max(0, tookMs - gapMs.valueMs()) / readTokens);
        }
    }

    /** Time between two events of a stream there, as learned. */
    double gapMs() {
        return gapMs.valueMs();
    }

    /** Learns from the time between two events of a stream. */
    public void learnGap(double gap) {
        gapMs.sample(gap);
    }

    /** The service it belongs to. */
    ServiceTargets service() {
        return service;
    }
}
