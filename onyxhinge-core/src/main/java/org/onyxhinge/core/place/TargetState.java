package org.onyxhinge.core.place;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What this router knows of one target: its registry entry, this router's calls there, the calls reported by peers, and
 * its recent speed and health.
 */
public final class TargetState {

    /**
     * Slowdown of work on a full batch relative to a single request, as a fraction; it results from the steps that an
     * engine shares among its requests.
     */
    private static final double FULL_BATCH_COST = 0.3;

    /** Leaves room for a target that is slower than it recently was. */
    private static final double SAFE_GAP_FRACTION = 0.7;

    private static final int ALL_GROUPS = -1;

    /**
     * How long a borrowed slot may be used for further calls. Its group gets it back this much later at most, and the
     * time of one call.
     */
    private static final long LOAN_MS = 1_000;

    private final ServiceTargets service;
    private final String incarnation;
    private final TargetHealth health = new TargetHealth();
    private final Map<String, TargetUse> peers = new HashMap<>();
    private final MovingAverage gapMs;
    private final MovingAverage prefillMs;
    private final MovingAverage plainMs;
    private Target info;
    private TargetRole role = TargetRole.SERVING;
    private boolean gone;
    /** Whether the target has announced its shutdown; the registry may learn of it much later. */
    private boolean leaving;

    private int ownCalls;
    private long ownPrefillTokens;
    private int peerCalls;
    private long peerPrefillTokens;
    private final Reservations forPeers = new Reservations();
    private final Reservations forSelf = new Reservations();
    /** Those of the slots reserved for this router that it has kept after a call; the lender no longer reports them. */
    private final Reservations kept = new Reservations();
    /** Until when borrowed slots may be kept. */
    private long loanUntilMs;
    /** Slots freed by this router's calls that it has neither reused nor reserved for a peer. */
    private int freedSlots;
    /** Slots this router has taken by its turn and that the other routers have not learned of yet. */
    private final Reservations unannounced = new Reservations();

    private Owners ownership = Owners.SHARED;
    private int group = ALL_GROUPS;
    private Optional<TargetLimit> limit = Optional.empty();

    /** Who may use the free slots of a target. */
    enum Owners {
        /** All routers: the service is not divided, or no router of the assigned group is live. */
        SHARED,
        /** The routers of this router's group. */
        OWN_GROUP,
        /** Another group: this router may use a slot only while it is reserved for it. */
        OTHER_GROUP
    }

    TargetState(ServiceTargets service, Target info) {
        this.service = service;
        this.info = info;
        this.incarnation = info.incarnation();
        this.gapMs = service.gapMs().child();
        this.prefillMs = service.prefillMs().child();
        this.plainMs = service.plainMs().child();
    }

    /** The registry entry. */
    public Target info() {
        return info;
    }

    /** Identifies the start of the target; learned state applies to this incarnation only. */
    public String incarnation() {
        return incarnation;
    }

    /** Number of this router's running calls on the target. */
    public int ownCalls() {
        return ownCalls;
    }

    /** Prompt tokens of this router's calls on the target that have not produced their first event. */
    public long ownPrefillTokens() {
        return ownPrefillTokens;
    }

    /** Number of slots reported to peers: this router's calls, and the slots it has reserved for peers or kept. */
    int claimedCalls(long nowMs) {
        return ownCalls + forPeers.count(nowMs) + kept.count(nowMs);
    }

    /**
     * Reserves a slot for a peer for a limited time.
     *
     * @param announcedAtMs when the other routers will have learned of it
     */
    void reserveForPeer(long untilMs, long nowMs, long announcedAtMs) {
        forPeers.add(untilMs);
        takeSlot(nowMs, announcedAtMs);
    }

    private void takeSlot(long nowMs, long announcedAtMs) {
        if (isReservedForSelf(nowMs)) {
            forSelf.consumeOne();
            kept.consumeOne();
            return;
        }
        limit.ifPresent(l -> l.use(nowMs));
        if (freedSlots > 0) {
            freedSlots--;
        } else {
            unannounced.add(announcedAtMs, nowMs);
        }
    }

    /** Number of slots kept as taken by this router's turn, whether or not the others have learned of them. */
    int unannouncedCount() {
        return unannounced.size();
    }

    /**
     * Whether this router may take a free slot by its turn: the routers take the free slots one at a time, in their
     * order for this target, and start over after the last one.
     *
     * @param before number of routers that precede this one
     * @param routers number of all routers
     */
    boolean isOwnTurn(int before, int routers, long nowMs) {
        int taken = unannounced.count(nowMs);
        return before + routers * taken < freeSlots(nowMs) + taken;
    }

    /** Records a slot that a peer has reserved for this router for a limited time. */
    void reservedForSelf(long untilMs) {
        forSelf.add(untilMs);
    }

    /** Records that a router of another group has lent a slot. */
    void lent(long nowMs) {
        loanUntilMs = nowMs + LOAN_MS;
    }

    /** Whether a borrowed slot may be used for a further call; one of a target with a rate limit is for one call. */
    boolean isOnLoan(long nowMs) {
        return nowMs < loanUntilMs && limit.isEmpty();
    }

    /** Reserves the borrowed slot of a call that has ended for the next call. */
    void keepBorrowedSlot(long untilMs) {
        forSelf.add(untilMs);
        kept.add(untilMs);
    }

    /** Who may use its free slots. */
    Owners ownership() {
        return ownership;
    }

    /** Makes the target available to all routers. */
    void shareWithAll() {
        group = ALL_GROUPS;
        ownership = Owners.SHARED;
    }

    /** Assigns the target to a group of routers. */
    void assignTo(int routerGroup, FleetView fleet) {
        group = routerGroup;
        ownership = fleet.ownershipOf(routerGroup);
    }

    /** Whether a group of routers must be notified of calls on this target. */
    boolean isVisibleTo(int routerGroup) {
        return ownership == Owners.SHARED || group == routerGroup;
    }

    /** Number of running calls of all routers, as far as known. */
    public int calls() {
        return ownCalls + peerCalls;
    }

    /** Whether it is registered, not draining, and has not announced its shutdown. */
    public boolean isReady() {
        return !gone && !leaving && info.ready();
    }

    /** Sets whether it has announced its shutdown; returns whether that has changed. */
    boolean leaving(boolean announced) {
        boolean changed = leaving != announced;
        leaving = announced;
        return changed;
    }

    /** Whether calls that begin may be placed on it. */
    public boolean takesCalls() {
        return isReady() && role == TargetRole.SERVING;
    }

    /** Whether a call may be placed on it, leaving aside calls of a trial. */
    boolean takes(Call call) {
        if (call.version().isEmpty()) {
            return takesCalls();
        }
        boolean continues = role == TargetRole.SERVING || role == TargetRole.REPLACED;
        return isReady() && continues && info.version().equals(call.version().get());
    }

    /**
     * Whether a call that continues a stream may take a slot here although another group uses the target. The group's
     * routers do not plan with such calls, so there is only one at a time.
     */
    boolean takesGuest(Call call, long nowMs) {
        return call.version().isPresent()
                && ownership == Owners.OTHER_GROUP
                && ownCalls == 0
                && takes(call)
                && !health.paused(nowMs);
    }

    /** Whether it runs a version on trial and calls of the trial may be placed on it. */
    boolean takesTrialCalls() {
        return isReady() && role == TargetRole.TRIAL;
    }

    /** Whether a call that was placed on it may still be sent. */
    public boolean acceptsSends(Call call, long nowMs) {
        return (takes(call) || takesTrialCalls()) && !health.refusesCalls(nowMs);
    }

    /** Which calls it gets. */
    public TargetRole role() {
        return role;
    }

    /** Sets which calls it gets; returns whether that has changed. */
    boolean role(TargetRole newer) {
        boolean changed = role != newer;
        role = newer;
        return changed;
    }

    void update(Target newer) {
        info = newer;
        gone = false;
    }

    void markGone() {
        gone = true;
    }

    /** Replaces the calls reported by all peers. */
    void peerUses(Map<String, TargetUse> byPeer) {
        List.copyOf(peers.keySet()).forEach(peer -> peerUse(peer, null));
        byPeer.forEach(this::peerUse);
    }

    /** Replaces the calls reported by a peer; null removes them. */
    void peerUse(String peer, TargetUse use) {
        TargetUse before = use == null ? peers.remove(peer) : peers.put(peer, use);
        peerCalls += (use == null ? 0 : use.calls()) - (before == null ? 0 : before.calls());
        peerPrefillTokens += (use == null ? 0 : use.prefillTokens()) - (before == null ? 0 : before.prefillTokens());
    }

    /**
     * Number of slots free for this router. Slots that a peer has reserved for it are included in the calls which that
     * peer reports, so they are added back.
     */
    int freeSlots(long nowMs) {
        int reserved = forSelf.count(nowMs);
        if (ownership == Owners.OTHER_GROUP || isLimitedElsewhere()) {
            return reserved;
        }
        int free = info.slots() - calls() - forPeers.count(nowMs) + reserved;
        return limit.map(l -> Math.min(free, reserved + l.allows(nowMs))).orElse(free);
    }

    /** Sets the rate limit; empty if none is advertised. */
    void limit(Optional<TargetLimit> now) {
        limit = now;
    }

    Optional<TargetLimit> limit() {
        return limit;
    }

    private boolean isLimitedElsewhere() {
        return limit.isPresent() && !limit.get().isManagedHere();
    }

    /** Whether it has a rate limit that this router manages. */
    boolean isLimitedHere() {
        return limit.isPresent() && limit.get().isManagedHere();
    }

    boolean isAvailable(long nowMs) {
        return takesCalls() && hasRoom(nowMs);
    }

    /** Whether a call may be placed on it and there is a slot for it. */
    boolean isAvailable(Call call, long nowMs) {
        return takes(call) && (hasRoom(nowMs) || takesGuest(call, nowMs));
    }

    /** Whether the health of the target and its free slots allow a call now. */
    boolean hasRoom(long nowMs) {
        if (health.paused(nowMs)) {
            return false;
        }
        // On probation each router may send it one call, unless a rate limit bounds the calls of all routers.
        return health.onProbation() && limit.isEmpty() ? ownCalls == 0 : freeSlots(nowMs) > 0;
    }

    double failureRate() {
        return health.failureRate();
    }

    /** Expected time to the first byte of the response if {@code call} were sent now. */
    public double firstByteMs(Call call) {
        if (call.promptTokens() == 0) {
            return plainMs.valueMs();
        }
        long ahead = ownPrefillTokens + peerPrefillTokens;
        return (ahead + call.promptTokens()) * prefillMs.valueMs() + gapMs.valueMs();
    }

    /** Expected time to the last byte of the response if {@code call} were sent now. */
    double lastByteMs(Call call) {
        double alone = firstByteMs(call) + call.outputEvents() * gapMs.valueMs();
        double load = (double) calls() / info.slots();
        return alone * (1 + FULL_BATCH_COST * load);
    }

    /**
     * Whether a call suits this target: if sent now, its response would complete in time, and reading its prompt would
     * not pause the concurrent streams for too long.
     */
    boolean suits(Call call, long nowMs) {
        double pauseMs = call.promptTokens() * prefillMs.valueMs() + gapMs.valueMs();
        return nowMs + lastByteMs(call) <= call.responseDeadlineMs()
                && (call.gapTargetMs() == 0 || pauseMs <= call.gapTargetMs());
    }

    /**
     * Whether the streams of this target would keep their gaps within {@code SAFE_GAP_FRACTION} of what a call allows
     * while it reads the prompt of the call and those that are queued before it. The bounds of the other streams are
     * not known here; a call without a bound suits any target.
     */
    boolean keepsGaps(Call call) {
        return keepsGaps(call, ownPrefillTokens + peerPrefillTokens);
    }

    /** Like {@link #keepsGaps(Call)} once the queued prompts have been read. */
    boolean keepsGapsAlone(Call call) {
        return keepsGaps(call, 0);
    }

    private boolean keepsGaps(Call call, long tokensAhead) {
        double gapWhileReadingMs = (tokensAhead + call.promptTokens()) * prefillMs.valueMs() + gapMs.valueMs();
        return call.gapTargetMs() == 0 || gapWhileReadingMs <= SAFE_GAP_FRACTION * call.gapTargetMs();
    }

    /**
     * Records that a call is sent to this target.
     *
     * @param announcedAtMs when the other routers will have learned of it
     */
    void started(Call call, long nowMs, long announcedAtMs) {
        takeSlot(nowMs, announcedAtMs);
        ownCalls++;
        ownPrefillTokens += call.promptTokens();
    }

    /** Records that the prompt has been read. */
    void prefilled(Call call) {
        ownPrefillTokens -= call.promptTokens();
    }

    void ended() {
        ownCalls--;
        freedSlots += ownership == Owners.OTHER_GROUP ? 0 : 1;
    }

    /** Whether this router's calls have freed a slot here, or a peer has reserved one for it. */
    boolean hasOwnSlot(long nowMs) {
        return freedSlots > 0 && ownership != Owners.OTHER_GROUP || isReservedForSelf(nowMs);
    }

    /** Whether a peer has reserved a slot here for this router. */
    boolean isReservedForSelf(long nowMs) {
        return forSelf.count(nowMs) > 0;
    }

    /** Releases the slots freed by this router's calls to all routers. */
    void releaseFreedSlots() {
        freedSlots = 0;
    }

    /** When bytes were last received from the target; 0 for never. */
    public long heardAtMs() {
        return health.heardAtMs();
    }

    TargetHealth health() {
        return health;
    }

    /**
     * Updates the averages with the time to a first byte.
     *
     * @param tookMs time since the call was sent
     * @param readTokens prompt tokens the target had to read first, including those of calls ahead
     */
    void learnFirstByte(double tookMs, long readTokens) {
        if (readTokens == 0) {
            plainMs.sample(tookMs);
        } else if (readTokens >= ServiceTargets.MIN_PREFILL_SAMPLE_TOKENS) {
            prefillMs.sample(Math.max(0, tookMs - gapMs.valueMs()) / readTokens);
        }
    }

    /** Average time between two events of a stream. */
    double gapMs() {
        return gapMs.valueMs();
    }

    /** Updates the average with the time between two events of a stream. */
    public void recordGap(double gap) {
        gapMs.sample(gap);
    }

    /** The service it belongs to. */
    ServiceTargets service() {
        return service;
    }
}
