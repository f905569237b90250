package io.vanillapoint.core.upstream;

import io.vanillapoint.core.fleet.UpstreamSignals.OutcomeCounts;
import java.util.Optional;

/**
 * Evidence that a replica fails more of its requests than is usual for its service, although it is
 * reachable and reports good health.
 *
 * <p>Handles replicas that fail at once, have no queue and therefore appear idle, while each VM
 * sends them only a few requests. The evidence is a sequential probability ratio test between a
 * replica that fails at the usual rate of the service and one that fails most requests: failures
 * add to it, successes reduce it, and time alone changes nothing.
 *
 * <p>VMs share it as a logical clock: the number of the last known failure, and the successes known
 * since. A VM takes over later counts and passes them on with its heartbeats, so that they reach
 * all VMs of a region in a few rounds; what happens at several VMs at once is counted once. Counts
 * that arrive late, twice or from a process that has just started are not later and change nothing.
 *
 * <p>While the replica is an outlier, it receives single requests as trials, spread over the VMs;
 * once one succeeds, further ones follow quickly. Invariants: the evidence lies between 0 and
 * {@link #MAX_EVIDENCE}; counts are forgotten some time after the evidence has ended. Confined to
 * one thread.
 */
final class FailureEvidence {
    /** Logarithm of the prior odds that a replica is sound: one in 400 fails most requests. */
    private static final double PRIOR_LOG_ODDS = 6;

    /** A few successes have to outweigh any number of failures, so the evidence is bounded. */
    private static final double MAX_EVIDENCE = 7.5;

    /** Time between two trials of all VMs together while the replica fails them. */
    private static final long TRIAL_INTERVAL_MILLIS = 400;

    /** Time between two trials of one VM since the last trial has succeeded. */
    private static final long FAST_TRIAL_INTERVAL_MILLIS = 50;

    /**
     * Failed trials of other VMs are heard of within this time; without any, the replica is
     * probably sound, or this VM hears nobody.
     */
    private static final long UNOBSERVED_MILLIS = 3_000;

    /**
     * Requests of a VM to the service for each trial of a failing replica, by number of replicas:
     * trials are at most a quarter of what the VM would send there otherwise.
     */
    private static final int REQUESTS_PER_TRIAL = 4;

    /** Observations that the failure rate of the replica is based on, by weight. */
    private static final double MAX_OBSERVED = 50;

    /** Counts are reported for this time after the evidence has ended, so that all VMs hear it. */
    private static final long REPORT_MILLIS = 3_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final ServiceFailures service;
    private double evidence;
    private double failures;
    private double observed;

    /** Number of the last known failure since the evidence began. */
    private int failureNumber;

    /** Known successes since that failure. */
    private int successesSince;

    private boolean outlier;
    private boolean trialSent;
    private boolean confirmationDue;
    private int passedOver;

    /** When this VM sent its last trial, or when the replica became an outlier. */
    private long lastTrialMillis = NEVER;

    private long lastObservedMillis = NEVER;
    private long lastFailureMillis = NEVER;
    private long reportUntilMillis = NEVER;

    FailureEvidence(ServiceFailures service) {
        this.service = service;
    }

    /**
     * Records the outcome of a request that this VM sent. Successes of requests that were sent
     * before the last failure became known are older than the evidence and do not reduce it.
     *
     * @param failure true if the replica failed it
     */
    void record(boolean failure, long sentAtMillis, long nowMillis) {
        observe(failure);
        if (failure) {
            addFailures(1, nowMillis);
            confirmationDue = failingProbability() < ServiceFailures.OUTLIER_MARGIN;
        } else if (evidence > 0 && sentAtMillis >= lastFailureMillis) {
            addSuccesses(1, nowMillis);
        }
    }

    /** Records that a request is about to be sent. */
    void requestSent(long nowMillis) {
        confirmationDue = false;
        if (outlier) {
            trialSent = true;
            passedOver = 0;
            lastTrialMillis = nowMillis;
        }
    }

    /** The counts known to this VM, empty if there is no evidence. */
    Optional<OutcomeCounts> counts(long nowMillis) {
        if (evidence > 0) {
            reportUntilMillis = nowMillis + REPORT_MILLIS;
        } else if (nowMillis > reportUntilMillis) {
            failureNumber = 0;
            successesSince = 0;
        }
        return failureNumber == 0
                ? Optional.empty()
                : Optional.of(new OutcomeCounts(failureNumber, successesSince));
    }

    /**
     * Takes over counts of another VM that are later than those known here.
     *
     * @param counts its counts, all 0 if it has none
     */
    void merge(OutcomeCounts counts, long nowMillis) {
        if (counts.failures() > failureNumber) {
            addFailures(counts.failures() - failureNumber, nowMillis);
        }
        if (counts.failures() == failureNumber && counts.successes() > successesSince) {
            addSuccesses(counts.successes() - successesSince, nowMillis);
        }
    }

    private void addFailures(int count, long nowMillis) {
        failureNumber = (int) Math.min(Integer.MAX_VALUE, (long) failureNumber + count);
        successesSince = 0;
        evidence = Math.min(MAX_EVIDENCE, evidence + count * service.failureEvidence());
        lastObservedMillis = nowMillis;
        lastFailureMillis = nowMillis;
    }

    private void addSuccesses(int count, long nowMillis) {
        successesSince += count;
        evidence = Math.max(0, evidence + count * service.successEvidence());
        lastObservedMillis = nowMillis;
    }

    /** Counts of other VMs begin with a failure, so only own outcomes tell the usual rate. */
    private void observe(boolean failure) {
        double factor = Math.min(1, MAX_OBSERVED / (observed + 1));
        observed = factor * (observed + 1);
        failures = factor * (failures + (failure ? 1 : 0));
    }

    /** Failures observed, by weight. */
    double failures() {
        return failures;
    }

    /** Requests whose outcome was observed, by weight. */
    double observed() {
        return observed;
    }

    /** Part of the observed requests that failed. */
    double observedRate() {
        return observed == 0 ? 0 : failures / observed;
    }

    /** Probability that the replica fails most requests, from 0 to 1. */
    double failingProbability() {
        return 1 / (1 + Math.exp(PRIOR_LOG_ODDS - evidence));
    }

    /** Applies the comparison with the other replicas of the service. */
    void compared(boolean clearlyWorse, long nowMillis) {
        if (clearlyWorse && !outlier) {
            trialSent = false;
            passedOver = 0;
            lastTrialMillis = nowMillis;
        }
        outlier = clearlyWorse;
    }

    /** Tells whether the replica fails clearly more requests than is usual for its service. */
    boolean outlier() {
        return outlier;
    }

    /**
     * Tells whether this VM should send a request to an outlier to find out whether it still fails.
     * To be called once for each request that could go there.
     *
     * @param turn the part of this VM in the trials
     */
    boolean trialDue(TrialTurn turn, long nowMillis) {
        if (!outlier) {
            return false;
        }
        passedOver++;
        long sinceTrialMillis = nowMillis - lastTrialMillis;
        if (successesSince > 0) {
            return sinceTrialMillis >= FAST_TRIAL_INTERVAL_MILLIS;
        }
        double part = trialSent ? 1 : turn.phase();
        boolean unobserved = nowMillis - lastObservedMillis >= UNOBSERVED_MILLIS;
        double intervalMillis = TRIAL_INTERVAL_MILLIS * (double) turn.vms();
        return passedOver >= part * REQUESTS_PER_TRIAL * turn.replicas()
                && (sinceTrialMillis >= part * intervalMillis
                        || (unobserved && sinceTrialMillis >= UNOBSERVED_MILLIS));
    }

    /**
     * Tells whether a request of this VM has failed, which alone is not conclusive, so that the
     * next request should go to the same replica. A failing replica is found sooner that way.
     */
    boolean confirmationDue() {
        return confirmationDue;
    }

    /** Forgets everything about the previous process of the replica. */
    void reset() {
        evidence = 0;
        failures = 0;
        observed = 0;
        failureNumber = 0;
        successesSince = 0;
        outlier = false;
        confirmationDue = false;
        trialSent = false;
        reportUntilMillis = NEVER;
    }

    /**
     * Part of one VM in the trials of a service's replicas. Immutable.
     *
     * @param vms VMs that share the trials, at least 1
     * @param replicas replicas of the service
     * @param phase from 0 to 1, another one on each VM, so that they take turns
     */
    record TrialTurn(int vms, int replicas, double phase) {}
}
