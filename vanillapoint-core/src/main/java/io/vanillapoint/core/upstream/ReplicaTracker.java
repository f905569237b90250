package io.vanillapoint.core.upstream;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.fleet.FleetReport;
import io.vanillapoint.core.fleet.UpstreamSignals;
import io.vanillapoint.core.fleet.UpstreamUse;
import io.vanillapoint.core.prompt.PrefixCacheModel;
import io.vanillapoint.core.prompt.PromptSummary;
import io.vanillapoint.core.published.ReplicaState;
import io.vanillapoint.core.published.UpstreamReplica;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * State of one replica: its published entry, this VM's outstanding requests and their outcomes.
 *
 * <p>Invariant: the outstanding requests and prompt tokens are never negative. Confined to one
 * thread.
 */
public final class ReplicaTracker {
    /** Weight of the newest response in the smoothed failure rate. */
    private static final double NEWEST_ANSWER_WEIGHT = 0.08;

    /**
     * A lapsed entry may return unchanged within this time, so a reported leave or backoff is kept.
     */
    private static final long REPORTED_STATE_MILLIS = ReplicaBackoff.MAX_MILLIS;

    private final RegionId region;
    private UpstreamReplica info;
    private long coldUntilMillis;
    private long coldSinceMillis;
    private long removedAtMillis = Long.MAX_VALUE;
    private long changedAtMillis;
    private boolean mayReturn;
    private int requests;
    private long promptTokens;
    private final DeferrableWork deferrableWork = new DeferrableWork();
    private double failureRate;
    private long lastReceivedMillis = Long.MIN_VALUE / 2;
    private long lastReachedMillis = Long.MIN_VALUE / 2;
    private boolean leavingReported;
    private final Ejection ejection = new Ejection();
    private final ReplicaBackoff backoff = new ReplicaBackoff();
    private final ColdStartGate coldGate;
    private final PrefixCacheModel prefixCache;
    private final SilenceEvidence silence;
    private final FailureEvidence failures;
    private final ReplicaLoad load = new ReplicaLoad();
    private final ServiceTimes.Replica serviceTime;

    ReplicaTracker(
            UpstreamReplica info,
            RegionId region,
            PrefixCacheModel prefixCache,
            ResponseTimes responseTimes,
            ServiceFailures serviceFailures,
            ServiceTimes serviceTimes,
            long nowMillis) {
        this.info = info;
        this.region = region;
        this.coldGate = new ColdStartGate(nowMillis);
        this.prefixCache = prefixCache;
        this.silence = new SilenceEvidence(responseTimes);
        this.failures = new FailureEvidence(serviceFailures);
        this.serviceTime = serviceTimes.new Replica();
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
        return hasEntry() ? info.state().name() : "REMOVED";
    }

    /**
     * When this VM received the last change of the replica's entry.
     *
     * @return monotonic time in milliseconds
     */
    public long changedAtMillis() {
        return changedAtMillis;
    }

    /**
     * This VM's outstanding load on the replica.
     *
     * @return requests and prompt tokens
     */
    public UpstreamUse outstanding() {
        return new UpstreamUse(
                requests, promptTokens, deferrableWork.requests(), deferrableWork.promptTokens());
    }

    /**
     * Deferrable part of this VM's outstanding load on the replica.
     *
     * @return the part, to be updated with each deferrable request
     */
    public DeferrableWork deferrableWork() {
        return deferrableWork;
    }

    /**
     * Model of the replica's prefix cache.
     *
     * @return the model, read-only for callers
     */
    public PrefixCacheModel prefixCache() {
        return prefixCache;
    }

    /**
     * Smoothed failure rate of the replica's responses.
     *
     * @return from 0 to 1
     */
    public double failureRate() {
        return failureRate;
    }

    /**
     * Estimated probability that the replica does not answer a request at all.
     *
     * @return from 0 to 1
     */
    public double unansweredRate() {
        return silence.unansweredRate();
    }

    /** Evidence that the replica leaves requests unanswered. */
    SilenceEvidence silence() {
        return silence;
    }

    /** Evidence that the replica fails more requests than is usual for its service. */
    FailureEvidence failures() {
        return failures;
    }

    /**
     * Tells whether the replica is ejected because it fails clearly more requests than is usual for
     * its service. Requests of load-aware placement avoid it then.
     *
     * @return true as of the last request to the service
     */
    public boolean outlier() {
        return failures.outlier();
    }

    /**
     * Part of the replica's last responses to all VMs that failed, as far as known here.
     *
     * @return from 0 to 1
     */
    public double observedFailureRate() {
        return failures.observedRate();
    }

    /**
     * Adds an outcome to the evidence of load-aware placement. Unlike {@link #recordOutcome}, it
     * counts each response at once, whatever becomes of the request at other replicas.
     *
     * @param failure true if the replica failed the request
     * @param sentAtMillis when the request was sent
     * @param nowMillis monotonic time
     */
    public void recordEvidence(boolean failure, long sentAtMillis, long nowMillis) {
        failures.record(failure, sentAtMillis, nowMillis);
    }

    /**
     * Service time of the replica's plain requests.
     *
     * @return the estimate, updated with successful responses while placement is load-aware
     */
    public ServiceTimes.Replica serviceTime() {
        return serviceTime;
    }

    /**
     * Expected duration of work relative to the replica's usual one, by its load reports.
     *
     * @param nowMillis monotonic time
     * @return 1 if it reports no slowdown
     */
    public double slowdownFactor(long nowMillis) {
        return load.relativeFactor(nowMillis);
    }

    /** Load that the replica reports. */
    ReplicaLoad load() {
        return load;
    }

    /** What this VM has observed of the replica, for the heartbeat. */
    UpstreamSignals signals(long nowMillis) {
        return new UpstreamSignals(failures.counts(nowMillis), load.slowdown(nowMillis));
    }

    /** Adds what another VM has observed of the replica, {@code NONE} if nothing. */
    void mergeSignals(FleetReport report, UpstreamSignals observed, long nowMillis) {
        observed.outcomes().ifPresent(counts -> failures.merge(counts, nowMillis));
        observed.slowdown().ifPresent(slowdown -> load.merge(slowdown, nowMillis));
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
     * @return monotonic time in milliseconds
     */
    public long lastReceivedMillis() {
        return lastReceivedMillis;
    }

    /**
     * Tells whether the replica is cold.
     *
     * @param nowMillis monotonic time
     * @return true if its rate is limited
     */
    public boolean cold(long nowMillis) {
        return nowMillis < coldUntilMillis;
    }

    /**
     * Remaining time for which the replica is cold, according to its entry.
     *
     * @param nowMillis monotonic time
     * @return milliseconds, 0 if it is warm
     */
    public long coldRemainingMillis(long nowMillis) {
        return Math.max(0, coldUntilMillis - nowMillis);
    }

    /**
     * Records a request that is about to be sent.
     *
     * @param uncachedTokens prompt tokens that the replica has to process for it
     * @param prompt the prompt, or null for a plain request
     * @param nowMillis monotonic time
     */
    public void dispatched(long uncachedTokens, PromptSummary prompt, long nowMillis) {
        requests++;
        promptTokens += uncachedTokens;
        if (prompt != null) {
            prefixCache.recordPrefill(prompt);
        }
        if (mayBeCold(nowMillis)) {
            coldGate.consume();
        }
        if (ejection.failing()) {
            ejection.trialSent(nowMillis);
        }
        backoff.requestSent(nowMillis);
    }

    /**
     * Begins to watch for the response to a request that is about to be sent.
     *
     * @param expectedMillis expected time to its first byte
     * @param urgency rank in the queue of an engine, 0 first; empty for a plain request
     * @param nowMillis monotonic time
     * @return the response, to be told when it begins or ends
     */
    public AwaitedResponse awaitResponse(long expectedMillis, OptionalInt urgency, long nowMillis) {
        failures.requestSent(nowMillis);
        return silence.sent(expectedMillis, urgency, nowMillis);
    }

    /**
     * Records the first event of a response, by which the prompt was processed.
     *
     * @param uncachedTokens value passed when the request was sent
     */
    public void recordPromptProcessed(long uncachedTokens) {
        promptTokens = Math.max(0, promptTokens - uncachedTokens);
    }

    /** Records the end of a request, whatever its outcome. */
    public void finished() {
        requests = Math.max(0, requests - 1);
    }

    /**
     * Records that the replica sent something, which ends its ejection unless it was ejected since
     * the request was sent because new connections fail.
     *
     * @param sentAtMillis when the request was sent that is being answered
     * @param nowMillis monotonic time
     */
    public void recordReceived(long sentAtMillis, long nowMillis) {
        lastReceivedMillis = nowMillis;
        lastReachedMillis = Math.max(lastReachedMillis, sentAtMillis);
        ejection.answered(sentAtMillis, nowMillis);
    }

    /**
     * Updates the failure rate with the outcome of a response.
     *
     * @param failure true if the replica failed the request
     */
    public void recordOutcome(boolean failure) {
        failureRate += NEWEST_ANSWER_WEIGHT * ((failure ? 1 : 0) - failureRate);
    }

    /**
     * Records that a connection to the replica could not be opened.
     *
     * @param sentAtMillis when the request was to be sent
     * @param nowMillis monotonic time
     */
    public void connectionFailed(long sentAtMillis, long nowMillis) {
        ejection.connectionFailed(sentAtMillis, nowMillis);
    }

    /** When the first of the connections was tried that could not be opened since an answer. */
    OptionalLong connectionsFailSince() {
        return ejection.connectionsFailSince();
    }

    /**
     * When the last request was sent that the replica has answered, or the last probe to which it
     * has accepted a connection.
     *
     * @return monotonic time in milliseconds
     */
    public long lastReachedMillis() {
        return lastReachedMillis;
    }

    /**
     * Records that the replica did not answer.
     *
     * @param nowMillis monotonic time
     */
    public void unreachable(long nowMillis) {
        ejection.failed(nowMillis);
    }

    /**
     * Time since the first of the consecutive failures.
     *
     * @param nowMillis monotonic time
     * @return milliseconds, 0 if the replica is not failing
     */
    public long failingMillis(long nowMillis) {
        return ejection.failingMillis(nowMillis);
    }

    /** Tells whether a probe would tell more of the replica, now or later. */
    boolean probeWanted(long nowMillis) {
        return ejection.probeWanted(nowMillis);
    }

    /** Tells whether a probe should be sent now. */
    boolean probeDue(long nowMillis) {
        return ejection.probeDue(nowMillis);
    }

    /** Tells whether the replica may be probed although it does not fail. */
    boolean mayStartProbe(long nowMillis) {
        return ejection.mayStartProbe(nowMillis);
    }

    /** Tells whether this VM can't reach the replica at present. */
    boolean outOfReach(long nowMillis) {
        return ejection.failing() || ejection.active(nowMillis);
    }

    /** Earliest time of the next probe. */
    long nextProbeMillis() {
        return ejection.nextProbeMillis();
    }

    /** Records a probe that is about to be sent, with the jitter of the pause after it. */
    void probeStarted(long jitterMillis, long nowMillis) {
        ejection.probeStarted(jitterMillis, nowMillis);
    }

    /**
     * Records that the replica answered a probe.
     *
     * @param startedAtMillis wall-clock time of its start that it told, 0 if it told none
     * @param nowMillis monotonic time
     * @return what this tells about a restart
     */
    public RestartEvidence probeAnswered(long startedAtMillis, long nowMillis) {
        recordProbeReached();
        RestartEvidence evidence = RestartEvidence.of(info.startedAtMillis(), startedAtMillis);
        ejection.probeAnswered(evidence, nowMillis);
        return evidence;
    }

    /**
     * Records that a probe could not connect, or reached another replica at the address.
     *
     * @param nowMillis monotonic time
     */
    public void probeUnreachable(long nowMillis) {
        ejection.probeUnreachable(nowMillis);
    }

    /**
     * Records that the replica accepted the connection of a probe but did not answer it.
     *
     * @param nowMillis monotonic time
     */
    public void probeUnanswered(long nowMillis) {
        recordProbeReached();
        ejection.probeUnanswered(nowMillis);
    }

    /** An accepted connection shows the path to the replica, whatever follows. */
    private void recordProbeReached() {
        lastReachedMillis = Math.max(lastReachedMillis, ejection.probedAtMillis());
    }

    /**
     * Records that the replica announced in a response that it leaves. Only a restart under the
     * same id clears this.
     *
     * @return true if this is its first announcement to this VM
     */
    public boolean recordLeaving() {
        boolean firstReport = !leavingReported;
        leavingReported = true;
        return firstReport;
    }

    /**
     * Records that the replica rejected a request and requested a backoff.
     *
     * @param millis requested backoff
     * @param jitterMillis jitter added by this VM, so that VMs do not resume at the same time
     * @param nowMillis monotonic time
     * @return the backoff that is applied, shorter than requested if that exceeded the limit
     */
    public long backoffRequested(long millis, long jitterMillis, long nowMillis) {
        return backoff.request(millis, jitterMillis, nowMillis);
    }

    /**
     * Records that the replica accepted a request, which ends an expired backoff.
     *
     * @param nowMillis monotonic time
     */
    public void recordAccepted(long nowMillis) {
        backoff.requestAccepted(nowMillis);
    }

    /** Tells whether a backoff that the replica requested is active, without jitter. */
    boolean inBackoff(long nowMillis) {
        return backoff.requested(nowMillis);
    }

    /** Time until the requested backoff, its jitter and a pending probe are over; 0 if none. */
    long backoffRemainingMillis(long nowMillis) {
        return backoff.remainingMillis(nowMillis);
    }

    /**
     * Tells whether the replica is cold, or may have restarted without this VM's knowledge.
     *
     * @param nowMillis monotonic time
     * @return true if its rate is limited
     */
    public boolean mayBeCold(long nowMillis) {
        return cold(nowMillis) || ejection.mayHaveRestarted(nowMillis);
    }

    /** Tells whether this VM may try a failing replica regardless of cold-start ownership. */
    boolean mayProbe(int turn, long nowMillis) {
        return !cold(nowMillis) && ejection.mayProbe(turn, nowMillis);
    }

    boolean ejected(long nowMillis) {
        return ejection.active(nowMillis);
    }

    /**
     * Tells whether the cold gate's admission of a placed request is still valid. A request that
     * has waited too long would arrive together with the next one, and one that was placed before
     * the replica became cold was never admitted by the gate.
     */
    boolean coldAdmissionValid(long placedAtMillis, long nowMillis) {
        boolean admitted = !cold(nowMillis) || placedAtMillis >= coldSinceMillis;
        boolean inTime = nowMillis - placedAtMillis <= ColdStartGate.MAX_WAIT_MILLIS;
        return admitted && (inTime || !mayBeCold(nowMillis));
    }

    boolean coldGateHasToken(double perSecond, long nowMillis) {
        return coldGate.hasToken(perSecond, nowMillis);
    }

    void update(UpstreamReplica newInfo, long nowMillis) {
        boolean restarted = newInfo.startedAtMillis() != info.startedAtMillis();
        if (restarted || !cold(nowMillis)) {
            coldSinceMillis = nowMillis;
        }
        if (restarted) {
            prefixCache.clear();
            ejection.reset();
            backoff.reset();
            leavingReported = false;
            failureRate = 0;
            silence.reset();
            failures.reset();
            load.reset();
            serviceTime.reset();
        }
        info = newInfo;
        removedAtMillis = Long.MAX_VALUE;
        coldUntilMillis = nowMillis + newInfo.coldMillis();
        changedAtMillis = nowMillis;
    }

    void removed(boolean entryMayReturn, long nowMillis) {
        changedAtMillis = nowMillis;
        mayReturn = entryMayReturn;
        removedAtMillis = Math.min(removedAtMillis, nowMillis);
    }

    /**
     * Tells whether the replica has an entry that names it.
     *
     * @return false once its entry was removed or can't be used
     */
    public boolean hasEntry() {
        return removedAtMillis == Long.MAX_VALUE;
    }

    long removedAtMillis() {
        return removedAtMillis;
    }

    /** Tells whether a removed entry may have lapsed only because the store was unavailable. */
    boolean mayReturn() {
        return mayReturn;
    }

    /**
     * Tells whether the replica itself has announced that it leaves, in the store or in a response.
     * The removal of its entry does not count.
     *
     * @return true if it gets no new requests
     */
    public boolean draining() {
        return leavingReported || info.state() != ReplicaState.READY;
    }

    /** Tells whether the replica reported state that a returning entry would not restore. */
    boolean hasReportedState(long nowMillis) {
        boolean removedRecently = removedAtMillis > nowMillis - REPORTED_STATE_MILLIS;
        return removedRecently && (leavingReported || backoff.blocked(nowMillis));
    }

    boolean idle() {
        return requests == 0;
    }
}
