package io.vanillapoint.core.upstream;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.fleet.UpstreamUse;
import io.vanillapoint.core.prompt.CachedParts;
import io.vanillapoint.core.prompt.PromptShape;
import io.vanillapoint.core.published.ReplicaState;
import io.vanillapoint.core.published.UpstreamReplica;

/**
 * State of one replica: its published entry, this VM's outstanding requests and their outcomes.
 *
 * <p>Invariant: the outstanding requests and prompt tokens are never negative. Confined to one
 * thread.
 */
public final class ReplicaTracker {
    /** Weight of the newest answer in the smoothed failure rate. */
    private static final double FAILURE_WEIGHT = 0.08;

    /**
     * A lapsed entry may return unchanged within this time; what the replica reported still holds.
     */
    private static final long WORD_KEPT_MILLIS = QuietTime.LONGEST_MILLIS;

    private final RegionId region;
    private UpstreamReplica info;
    private long coldUntilMillis;
    private long coldSinceMillis;
    private long removedAtMillis = Long.MAX_VALUE;
    private long changedAtMillis;
    private boolean mayComeBack;
    private int requests;
    private long promptTokens;
    private double failureShare;
    private long answeredAtMillis = Long.MIN_VALUE / 2;
    private boolean saidLeaving;
    private final Ejection ejection = new Ejection();
    private final QuietTime quiet = new QuietTime();
    private final ColdStartGate coldGate;
    private final CachedParts cached;

    ReplicaTracker(UpstreamReplica info, RegionId region, long cacheTokens, long nowMillis) {
        this.info = info;
        this.region = region;
        this.coldGate = new ColdStartGate(nowMillis);
        this.cached = new CachedParts(cacheTokens);
        this.coldUntilMillis = nowMillis + info.coldMillis();
        this.coldSinceMillis = nowMillis;
        this.changedAtMillis = nowMillis;
    }

    /**
     * The latest published entry of the replica.
     *
     * @return the entry
     */
    public UpstreamReplica info() {
        return info;
    }

    /**
     * Region of the replica.
     *
     * @return region
     */
    public RegionId region() {
        return region;
    }

    /**
     * State of the replica's entry in the store as known to this VM, for the log.
     *
     * @return the published state, or REMOVED
     */
    public String entryState() {
        return removedAtMillis == Long.MAX_VALUE ? info.state().name() : "REMOVED";
    }

    /**
     * When this VM received the last change of the replica's entry.
     *
     * @return steady time in milliseconds
     */
    public long changedAtMillis() {
        return changedAtMillis;
    }

    /**
     * This VM's outstanding load on the replica.
     *
     * @return requests and prompt tokens
     */
    public UpstreamUse use() {
        return new UpstreamUse(requests, promptTokens);
    }

    /**
     * Model of the replica's prefix cache.
     *
     * @return the model, read-only for callers
     */
    public CachedParts cached() {
        return cached;
    }

    /**
     * Smoothed failure rate of the replica's answers.
     *
     * @return from 0 to 1
     */
    public double failureShare() {
        return failureShare;
    }

    /**
     * Tells whether the most recent attempts could not reach the replica.
     *
     * @return true until it answers again
     */
    public boolean failing() {
        return ejection.failing();
    }

    /**
     * When this VM last received anything from the replica.
     *
     * @return steady time in milliseconds
     */
    public long answeredAtMillis() {
        return answeredAtMillis;
    }

    /**
     * Tells whether the replica is cold.
     *
     * @param nowMillis steady time
     * @return true if its rate is limited
     */
    public boolean cold(long nowMillis) {
        return nowMillis < coldUntilMillis;
    }

    /**
     * Remaining time for which the replica is cold, according to its entry.
     *
     * @param nowMillis steady time
     * @return milliseconds, 0 if it is warm
     */
    public long coldLeftMillis(long nowMillis) {
        return Math.max(0, coldUntilMillis - nowMillis);
    }

    /**
     * Records a request that is about to be sent.
     *
     * @param uncachedTokens prompt tokens that the replica has to process for it
     * @param prompt the prompt, or null for a plain request
     * @param nowMillis steady time
     */
    public void dispatched(long uncachedTokens, PromptShape prompt, long nowMillis) {
        requests++;
        promptTokens += uncachedTokens;
        if (prompt != null) {
            cached.read(prompt);
        }
        if (mayBeCold(nowMillis)) {
            coldGate.pass();
        }
        if (ejection.failing()) {
            ejection.trial(nowMillis);
        }
        quiet.dispatched(nowMillis);
    }

    /**
     * Records the first event of an answer, by which the prompt was processed.
     *
     * @param uncachedTokens value passed when the request was sent
     */
    public void promptRead(long uncachedTokens) {
        promptTokens = Math.max(0, promptTokens - uncachedTokens);
    }

    /** Records the end of a request, whatever its outcome. */
    public void finished() {
        requests = Math.max(0, requests - 1);
    }

    /**
     * Records that the replica sent something, which ends its ejection.
     *
     * @param nowMillis steady time
     */
    public void answered(long nowMillis) {
        answeredAtMillis = nowMillis;
        ejection.answered(nowMillis);
    }

    /**
     * Updates the failure rate with the outcome of an answer.
     *
     * @param failure true if the replica failed the request
     */
    public void judged(boolean failure) {
        failureShare += FAILURE_WEIGHT * ((failure ? 1 : 0) - failureShare);
    }

    /**
     * Records that the replica could not be reached or did not answer.
     *
     * @param nowMillis steady time
     */
    public void unreachable(long nowMillis) {
        ejection.failed(nowMillis);
    }

    /**
     * Records that the replica announced in an answer that it leaves. Only a restart under the same
     * id clears this.
     *
     * @return true if this is its first announcement to this VM
     */
    public boolean saysLeaving() {
        boolean news = !saidLeaving;
        saidLeaving = true;
        return news;
    }

    /**
     * Records that the replica rejected a request and requested a backoff.
     *
     * @param millis requested backoff
     * @param spreadMillis jitter added by this VM, so that VMs do not resume at the same time
     * @param nowMillis steady time
     * @return the backoff that is applied, shorter than requested if that exceeded the limit
     */
    public long asksForQuiet(long millis, long spreadMillis, long nowMillis) {
        return quiet.ask(millis, spreadMillis, nowMillis);
    }

    /**
     * Records that the replica accepted a request, which ends an expired backoff.
     *
     * @param nowMillis steady time
     */
    public void tookWork(long nowMillis) {
        quiet.tookWork(nowMillis);
    }

    /** Tells whether a backoff that the replica requested is active, without jitter. */
    boolean quiet(long nowMillis) {
        return quiet.asked(nowMillis);
    }

    /** Time until the requested backoff, its jitter and a pending probe are over; 0 if none. */
    long quietLeftMillis(long nowMillis) {
        return quiet.leftMillis(nowMillis);
    }

    /**
     * Tells whether the replica is cold, or may have restarted without this VM's knowledge.
     *
     * @param nowMillis steady time
     * @return true if its rate is limited
     */
    public boolean mayBeCold(long nowMillis) {
        return cold(nowMillis) || ejection.mayHaveRestarted(nowMillis);
    }

    /** Tells whether this VM may probe a failing replica regardless of cold-start ownership. */
    boolean tryAnyway(int turn, long nowMillis) {
        return !cold(nowMillis) && ejection.tryAnyway(turn, nowMillis);
    }

    boolean ejected(long nowMillis) {
        return ejection.active(nowMillis);
    }

    /**
     * Tells whether the cold gate's admission of a placed request is still valid. A request that
     * has waited too long would arrive together with the next one, and one that was placed before
     * the replica became cold was never admitted by the gate.
     */
    boolean coldGateHolds(long placedAtMillis, long nowMillis) {
        boolean passedTheGate = !cold(nowMillis) || placedAtMillis >= coldSinceMillis;
        boolean inTime = nowMillis - placedAtMillis <= ColdStartGate.MOST_WAIT_MILLIS;
        return passedTheGate && (inTime || !mayBeCold(nowMillis));
    }

    boolean coldGateOpen(double perSecond, long nowMillis) {
        return coldGate.open(perSecond, nowMillis);
    }

    void update(UpstreamReplica newer, long nowMillis) {
        boolean startedAgain = newer.startedAtMillis() != info.startedAtMillis();
        if (startedAgain || !cold(nowMillis)) {
            coldSinceMillis = nowMillis;
        }
        if (startedAgain) {
            cached.clear();
            ejection.forget();
            quiet.forget();
            saidLeaving = false;
            failureShare = 0;
        }
        info = newer;
        removedAtMillis = Long.MAX_VALUE;
        coldUntilMillis = nowMillis + newer.coldMillis();
        changedAtMillis = nowMillis;
    }

    void removed(boolean entryMayComeBack, long nowMillis) {
        changedAtMillis = nowMillis;
        mayComeBack = entryMayComeBack;
        removedAtMillis = Math.min(removedAtMillis, nowMillis);
    }

    long removedAtMillis() {
        return removedAtMillis;
    }

    /** Tells whether a removed entry may have lapsed only because the store was unavailable. */
    boolean mayComeBack() {
        return mayComeBack;
    }

    /**
     * Tells whether the replica itself has announced that it leaves, in the store or in an answer.
     * The removal of its entry does not count.
     */
    boolean draining() {
        return saidLeaving || info.state() != ReplicaState.READY;
    }

    /**
     * Tells whether this VM holds state of the replica that a returning entry would not restore.
     */
    boolean toldMore(long nowMillis) {
        boolean lately = removedAtMillis > nowMillis - WORD_KEPT_MILLIS;
        return lately && (saidLeaving || quiet.holds(nowMillis));
    }

    boolean idle() {
        return requests == 0;
    }
}
