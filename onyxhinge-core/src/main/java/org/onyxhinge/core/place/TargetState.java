package org.onyxhinge.core.place;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What this router knows of one target: the registry's entry, its own calls there, what its peers say
 * they have there, and how fast and sound it has lately been.
 */
public final class TargetState {

    /** How much longer work takes on a full batch than alone, as a part; from the engines' shared steps. */
    private static final double FULL_BATCH_COST = 0.3;

    private static final int ALL_GROUPS = -1;

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
    private final Reservations forPeers = new Reservations();
    private final Reservations forUs = new Reservations();
    /** Slots that this router's calls have freed and that it has neither used again nor reserved for anyone. */
    private int freedHere;
    /** Slots that this router has taken by its turn and that the others have not heard of yet. */
    private final Reservations unheard = new Reservations();

    private Owners owners = Owners.ALL;
    private int group = ALL_GROUPS;
    private Optional<TargetLimit> limit = Optional.empty();

    /** Whose a target's free slots are. */
    enum Owners {
        /** All routers': of a service that is not divided, or of a group that nobody is heard of. */
        ALL,
        /** The routers of this one's group. */
        OUR_GROUP,
        /** Another group's: a slot is this router's only while it is reserved for it. */
        ANOTHER_GROUP
    }

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

    /** What peers are told: this router's calls there, and the slots it reserves for one of them. */
    int claimedCalls(long nowMs) {
        return ownCalls + forPeers.count(nowMs);
    }

    /**
     * Reserves a slot for a peer for a while.
     *
     * @param heardAtMs when the other routers will have heard of it
     */
    void reserveForPeer(long untilMs, long nowMs, long heardAtMs) {
        forPeers.add(untilMs);
        takeSlot(nowMs, heardAtMs);
    }

    private void takeSlot(long nowMs, long heardAtMs) {
        if (isReservedForUs(nowMs)) {
            forUs.takeOne();
            return;
        }
        limit.ifPresent(l -> l.use(nowMs));
        if (freedHere > 0) {
            freedHere--;
        } else {
            unheard.add(heardAtMs);
        }
    }

    /**
     * Whether a free slot there is this router's by its turn: as if the routers took the free slots one by one, in
     * their order for this target, and began anew after the last.
     *
     * @param before routers that come before this one
     * @param routers all of them
     */
    boolean isOurTurn(int before, int routers, long nowMs) {
        int taken = unheard.count(nowMs);
        return before + routers * taken < freeSlots(nowMs) + taken;
    }

    /** Notes a slot that a peer has reserved for this router for a while. */
    void reservedForUs(long untilMs) {
        forUs.add(untilMs);
    }

    /** Whose its free slots are. */
    Owners owners() {
        return owners;
    }

    /** All routers share it. */
    void sharedByAll() {
        group = ALL_GROUPS;
        owners = Owners.ALL;
    }

    /** It is dealt out to a group of routers. */
    void dealtTo(int routerGroup, FleetView fleet) {
        group = routerGroup;
        owners = fleet.ownersOf(routerGroup);
    }

    /** Whether a group of routers must be told of what is done there. */
    boolean concerns(int routerGroup) {
        return owners == Owners.ALL || group == routerGroup;
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

    /** Slots free for this router: those a peer reserves for it count as taken in what the peer says. */
    int freeSlots(long nowMs) {
        int reserved = forUs.count(nowMs);
        if (owners == Owners.ANOTHER_GROUP || isLimitedElsewhere()) {
            return reserved;
        }
        int free = info.slots() - calls() - forPeers.count(nowMs) + reserved;
        return limit.map(l -> Math.min(free, reserved + l.allows(nowMs))).orElse(free);
    }

    /** Sets its rate limit; empty while it names none. */
    void limit(Optional<TargetLimit> now) {
        limit = now;
    }

    Optional<TargetLimit> limit() {
        return limit;
    }

    private boolean isLimitedElsewhere() {
        return limit.isPresent() && !limit.get().isGivenOutHere();
    }

    /** Whether it has a rate limit that this router gives out. */
    boolean isLimitedHere() {
        return limit.isPresent() && limit.get().isGivenOutHere();
    }

    boolean hasRoom(long nowMs) {
        if (!takesCalls() || health.paused(nowMs)) {
            return false;
        }
        // On probation it gets one call of each router, unless it takes only so many from all of them.
        return health.onProbation() && limit.isEmpty() ? ownCalls == 0 : freeSlots(nowMs) > 0;
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

    /**
     * Whether a call suits this target: its answer would be whole in time if it went there now, and its prompt is read
     * before the streams that run beside it have paused for too long.
     */
    boolean suits(Call call, long nowMs) {
        double pauseMs = call.promptTokens() * prefillMs.valueMs() + gapMs.valueMs();
        return nowMs + lastByteMs(call) <= call.endsAtMs()
                && (call.gapTargetMs() == 0 || pauseMs <= call.gapTargetMs());
    }

    /**
     * Notes that a call goes there.
     *
     * @param heardAtMs when the other routers will have heard of it
     */
    void started(Call call, long nowMs, long heardAtMs) {
        takeSlot(nowMs, heardAtMs);
        ownCalls++;
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

    /** True while a slot there has been freed by this router's calls, or is reserved for it by a peer. */
    boolean hasSlotOfOurs(long nowMs) {
        return freedHere > 0 && owners != Owners.ANOTHER_GROUP || isReservedForUs(nowMs);
    }

    /** True while a peer has reserved a slot there for this router. */
    boolean isReservedForUs(long nowMs) {
        return forUs.count(nowMs) > 0;
    }

    /** Lets go of the slots that its calls have freed: they are anyone's. */
    void letGo() {
        freedHere = 0;
    }

    /** When bytes last came from it; 0 for never. */
    public long heardAtMs() {
        return health.heardAtMs();
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
