package io.vanillapoint.core.upstream;

/**
 * Distribution of the urgencies of the requests that this VM has recently sent to the engines of
 * one service, separately for deferrable and other requests.
 *
 * <p>Heartbeats tell how much of a VM's work is deferrable, not its urgencies. Callers are spread
 * over the VMs, so the distribution here is an estimate of that of the others. Samples decay with a
 * time constant of {@link #DECAY_MILLIS}. Confined to one thread.
 */
final class UrgencyMix {
    /** Long enough for tens of samples on a VM that sends a few requests per second. */
    private static final double DECAY_MILLIS = 10_000;

    /** Weight of the prior in requests: a few samples outweigh it. */
    private static final double PRIOR_REQUESTS = 1;

    private final double[][] weights = new double[2][EngineRank.URGENCIES];
    private long decayedAtMillis = Long.MIN_VALUE;

    void sent(EngineRank rank, long nowMillis) {
        if (decayedAtMillis != Long.MIN_VALUE) {
            double factor = Math.exp(-Math.max(0, nowMillis - decayedAtMillis) / DECAY_MILLIS);
            for (double[] kind : weights) {
                for (int urgency = 0; urgency < kind.length; urgency++) {
                    kind[urgency] *= factor;
                }
            }
        }
        decayedAtMillis = nowMillis;
        weights[index(rank.deferrable())][rank.urgency()]++;
    }

    /**
     * Fraction of the requests of a kind that an engine serves before a new one. Without samples,
     * urgent requests come before all, and deferrable ones before deferrable ones.
     *
     * @param deferrable kind of the requests that are at the engine
     * @param rank rank of the new request
     * @return from 0 to 1
     */
    double fractionAhead(boolean deferrable, EngineRank rank) {
        double[] kind = weights[index(deferrable)];
        double prior = deferrable && !rank.deferrable() ? 0 : PRIOR_REQUESTS;
        double ahead = prior;
        double all = PRIOR_REQUESTS;
        for (int urgency = 0; urgency < kind.length; urgency++) {
            all += kind[urgency];
            ahead += urgency <= rank.urgency() ? kind[urgency] : 0;
        }
        return ahead / all;
    }

    private static int index(boolean deferrable) {
        return deferrable ? 1 : 0;
    }
}
