package io.vanillapoint.core.routing;

/**
 * Decides when requests leave a region whose upstreams are busy. Immutable.
 *
 * <p>Requests stay while the load of the least loaded upstream of the region is at most {@link
 * #localLoad()}. Above that, they may go to a region whose load plus the penalty is lower.
 *
 * @param localLoad requests per unit of capacity up to which requests stay
 * @param awayPenalty load added to other regions, for the network latency and the transfer price
 */
public record SpillRule(double localLoad, double awayPenalty) {
    private static final double DEFAULT_LOCAL_LOAD = 1.5;
    private static final double DEFAULT_AWAY_PENALTY = 0.5;
    private static final double MAX_SPILL_FRACTION = 0.8;

    /**
     * Rule used when nothing is configured.
     *
     * @return the default rule
     */
    public static SpillRule defaults() {
        return new SpillRule(DEFAULT_LOCAL_LOAD, DEFAULT_AWAY_PENALTY);
    }

    /**
     * Rule under which requests leave only if no upstream of the region accepts them.
     *
     * @return the rule
     */
    public static SpillRule never() {
        return new SpillRule(Double.POSITIVE_INFINITY, 0);
    }

    /**
     * Tells whether the region is busy enough to consider other regions.
     *
     * @param local load of the least loaded upstream here
     * @return true if the load is above {@link #localLoad()}
     */
    public boolean isBusy(double local) {
        return local > localLoad;
    }

    /**
     * Fraction of the requests that should leave. It grows with the load difference and stays below
     * 1, so that VMs that see the same idle region do not all send everything there.
     *
     * @param local load of the least loaded upstream here
     * @param remote load of the other region
     * @return from 0 to 0.8
     */
    public double spillFraction(double local, double remote) {
        double gain = local - remote - awayPenalty;
        if (!isBusy(local) || !(gain > 0)) {
            return 0;
        }
        return Math.min(MAX_SPILL_FRACTION, gain / local);
    }
}
