package io.vanillapoint.core.upstream;

/**
 * Measures by how much deferrable requests are slower than the work ahead of them explains.
 *
 * <p>Handles engines at which more urgent requests keep arriving: they overtake a waiting request,
 * take its place in the batch and lengthen each step. The factor follows the ratio of measured to
 * expected times, which already contain it. Without samples it returns to 1 with a time constant of
 * {@link #DECAY_MILLIS}. Invariant: the factor stays between 1 and {@link #MAX_FACTOR}. Confined to
 * one thread.
 */
final class DeferralFactor {
    /** A factor of 8 refuses all requests whose target is eight times their processing time. */
    static final double MAX_FACTOR = 8;

    private static final double DECAY_MILLIS = 10_000;

    /** Ten samples follow a change of the load; VMs of the design size have some per second. */
    private static final double SAMPLE_WEIGHT = 0.1;

    /** Bounds the effect of a single request that was preempted or lost by the engine. */
    private static final double MAX_LOG_RATIO = 1;

    private double logFactor;
    private long decayedAtMillis = Long.MIN_VALUE;

    void record(long expectedMillis, long millis, long nowMillis) {
        if (decayedAtMillis != Long.MIN_VALUE) {
            logFactor *= Math.exp(-Math.max(0, nowMillis - decayedAtMillis) / DECAY_MILLIS);
        }
        decayedAtMillis = nowMillis;
        double logRatio = Math.log((double) Math.max(1, millis) / Math.max(1, expectedMillis));
        double bounded = Math.min(MAX_LOG_RATIO, Math.max(-MAX_LOG_RATIO, logRatio));
        double updated = logFactor + SAMPLE_WEIGHT * bounded;
        logFactor = Math.min(Math.log(MAX_FACTOR), Math.max(0, updated));
    }

    double factor() {
        return Math.exp(logFactor);
    }
}
