package io.vanillapoint.core.upstream;

import java.util.Comparator;
import java.util.List;

/**
 * Usual failure rate of one service, and which of its replicas fail clearly more requests.
 *
 * <p>The better third of the replicas tells what is usual: some requests fail at any replica, and a
 * service that fails as a whole has no outliers. Invariant: the usual rate stays between its
 * bounds, so that a single outcome is never conclusive. Confined to one thread.
 */
final class ServiceFailures {
    /** Comparing all replicas for each request takes processor time; evidence grows slower. */
    private static final long COMPARISON_INTERVAL_MILLIS = 50;

    /** One in this many replicas is taken as usual. */
    private static final int USUAL_PART = 3;

    private static final double MIN_USUAL_RATE = 0.02;
    private static final double MAX_USUAL_RATE = 0.9;

    /** Outcomes assumed before any is observed: one failure in ten, as an unknown service may. */
    private static final double PRIOR_FAILURES = 1;

    private static final double PRIOR_OUTCOMES = 10;

    /** Part of the requests that succeed usually and that an outlier fails. */
    private static final double OUTLIER_FAILS = 0.9;

    /** Difference to the usual probability of failing from which a replica is an outlier. */
    static final double OUTLIER_MARGIN = 0.2;

    private long comparedMillis = Long.MIN_VALUE / 2;
    private double usualRate = PRIOR_FAILURES / PRIOR_OUTCOMES;

    /** Evidence of one failure: logarithm of its likelihood ratio, above 0. */
    double failureEvidence() {
        return Math.log(outlierRate() / usualRate);
    }

    /** Evidence of one success, below 0. */
    double successEvidence() {
        return Math.log((1 - outlierRate()) / (1 - usualRate));
    }

    /** Part of the requests that fail at any replica. */
    double usualRate() {
        return usualRate;
    }

    private double outlierRate() {
        return usualRate + OUTLIER_FAILS * (1 - usualRate);
    }

    /**
     * Updates the usual rate and marks the outliers.
     *
     * @param replicas all replicas of the service that may receive requests
     * @param nowMillis monotonic time
     */
    void compare(List<FailureEvidence> replicas, long nowMillis) {
        if (nowMillis - comparedMillis < COMPARISON_INTERVAL_MILLIS) {
            return;
        }
        comparedMillis = nowMillis;
        int usual = (replicas.size() + USUAL_PART - 1) / USUAL_PART;
        List<FailureEvidence> byRate =
                replicas.stream()
                        .sorted(Comparator.comparingDouble(ServiceFailures::estimatedRate))
                        .limit(usual)
                        .toList();
        double failures = PRIOR_FAILURES;
        double outcomes = PRIOR_OUTCOMES;
        for (FailureEvidence replica : byRate) {
            failures += replica.failures();
            outcomes += replica.observed();
        }
        usualRate = Math.min(MAX_USUAL_RATE, Math.max(MIN_USUAL_RATE, failures / outcomes));
        double usualProbability =
                replicas.stream()
                        .mapToDouble(FailureEvidence::failingProbability)
                        .sorted()
                        .limit(usual)
                        .average()
                        .orElse(0);
        for (FailureEvidence replica : replicas) {
            double excess = replica.failingProbability() - usualProbability;
            replica.compared(excess > OUTLIER_MARGIN, nowMillis);
        }
    }

    private static double estimatedRate(FailureEvidence replica) {
        return (replica.failures() + PRIOR_FAILURES) / (replica.observed() + PRIOR_OUTCOMES);
    }
}
