package io.vanillapoint.core.upstream;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.fleet.UpstreamUse;
import io.vanillapoint.core.prompt.CachedParts;
import io.vanillapoint.core.prompt.PromptShape;
import io.vanillapoint.core.published.ReplicaState;
import io.vanillapoint.core.published.UpstreamReplica;

/**
 * One replica as this VM knows it: what it published, what this VM has sent there and how that
 * went.
 *
 * <p>Invariant: the outstanding requests and prompt tokens are never negative. Confined to one
 * thread.
 */
public final class ReplicaTracker {
    /** Weight of the newest answer in the smoothed share of failures. */
    private static final double FAILURE_WEIGHT = 0.08;

    /** An entry that lapsed may come back unchanged within this time; what was said still holds. */
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
     * What the replica published last.
     *
     * @return the replica
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
     * What the replica's entry in the store says as far as this VM knows, for the log.
     *
     * @return the published state, or REMOVED
     */
    public String entryState() {
        return removedAtMillis == Long.MAX_VALUE ? info.state().name() : "REMOVED";
    }

    /**
     * When this VM learnt of the last change of the replica's entry.
     *
     * @return steady time in milliseconds
     */
    public long changedAtMillis() {
        return changedAtMillis;
    }

    /**
     * What this VM has outstanding here.
     *
     * @return requests and prompt tokens
     */
    public UpstreamUse use() {
        return new UpstreamUse(requests, promptTokens);
    }

    /**
     * Prompt parts that the replica probably holds.
     *
     * @return the model, to be read only
     */
    public CachedParts cached() {
        return cached;
    }

    /**
     * Smoothed share of answers that were failures.
     *
     * @return from 0 to 1
     */
    public double failureShare() {
        return failureShare;
    }

    /**
     * Tells whether the last attempts could not reach the replica.
     *
     * @return true until it answers again
     */
    public boolean failing() {
        return ejection.failing();
    }

    /**
     * When the replica last sent anything.
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
     * Time for which the replica stays cold, as far as its entry tells.
     *
     * @param nowMillis steady time
     * @return milliseconds, 0 if it is warm
     */
    public long coldLeftMillis(long nowMillis) {
        return Math.max(0, coldUntilMillis - nowMillis);
    }

    /**
     * Counts a request that is about to be sent.
     *
     * @param uncachedTokens prompt tokens that the replica has to read for it
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
     * Counts the first event of an answer.
     *
     * @param uncachedTokens as given when the request was sent
     */
    public void promptRead(long uncachedTokens) {
        promptTokens = Math.max(0, promptTokens - uncachedTokens);
    }

    /** Counts the end of a request, however it ended. */
    public void finished() {
        requests = Math.max(0, requests - 1);
    }

    /**
     * Notes that the replica sent something.
     *
     * @param nowMillis steady time
     */
    public void answered(long nowMillis) {
        answeredAtMillis = nowMillis;
        ejection.answered(nowMillis);
    }

    /**
     * Notes how an answer turned out.
     *
     * @param failure true if the replica failed the request
     */
    public void judged(boolean failure) {
        failureShare += FAILURE_WEIGHT * ((failure ? 1 : 0) - failureShare);
    }

    /**
     * Notes that the replica could not be reached or did not answer.
     *
     * @param nowMillis steady time
     */
    public void unreachable(long nowMillis) {
        ejection.failed(nowMillis);
    }

    /**
     * Notes that the replica said in an answer that it leaves. Only a later start under the same id
     * takes that back.
     *
     * @return true if this VM had not heard it before
     */
    public boolean saysLeaving() {
        boolean news = !saidLeaving;
        saidLeaving = true;
        return news;
    }

    /**
     * Notes that the replica turned a request away and wants none for a time.
     *
     * @param millis time that it named
     * @param spreadMillis time that this VM adds, so that VMs do not return together
     * @param nowMillis steady time
     * @return the time that is kept, shorter than asked for if that was out of all bounds
     */
    public long asksForQuiet(long millis, long spreadMillis, long nowMillis) {
        return quiet.ask(millis, spreadMillis, nowMillis);
    }

    /**
     * Notes that the replica took a request instead of turning it away.
     *
     * @param nowMillis steady time
     */
    public void tookWork(long nowMillis) {
        quiet.tookWork(nowMillis);
    }

    /** Tells whether the replica has asked for no request now. */
    boolean quiet(long nowMillis) {
        return quiet.asked(nowMillis);
    }

    /** Time until a request may be sent, after the replica asked for quiet; 0 if it did not. */
    long quietLeftMillis(long nowMillis) {
        return quiet.leftMillis(nowMillis);
    }

    /**
     * Tells whether the replica is cold, or may have started again without this VM's knowledge.
     *
     * @param nowMillis steady time
     * @return true if its rate is limited
     */
    public boolean mayBeCold(long nowMillis) {
        return cold(nowMillis) || ejection.mayHaveRestarted(nowMillis);
    }

    /** Tells whether this VM has kept away from the replica for so long that it tries by itself. */
    boolean tryAnyway(int turn, long nowMillis) {
        return !cold(nowMillis) && ejection.tryAnyway(turn, nowMillis);
    }

    boolean ejected(long nowMillis) {
        return ejection.active(nowMillis);
    }

    /**
     * Tells whether what the cold gate decided when a request was placed still holds. One that has
     * waited for long would arrive together with the next one, and one that was placed before the
     * replica turned cold has not passed the gate.
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

    /** Tells whether a removed entry may only have lapsed while the store was away. */
    boolean mayComeBack() {
        return mayComeBack;
    }

    /**
     * Tells whether the replica itself has said that it leaves, in the store or in an answer; a
     * removed entry changes nothing.
     */
    boolean draining() {
        return saidLeaving || info.state() != ReplicaState.READY;
    }

    /** Tells whether this VM knows more of the replica than its entry would tell anew. */
    boolean toldMore(long nowMillis) {
        boolean lately = removedAtMillis > nowMillis - WORD_KEPT_MILLIS;
        return lately && (saidLeaving || quiet.holds(nowMillis));
    }

    boolean idle() {
        return requests == 0;
    }
}
