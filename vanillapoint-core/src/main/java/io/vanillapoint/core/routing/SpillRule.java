package io.vanillapoint.core.routing;

/**
 * When work leaves a region whose upstreams are busy. Immutable.
 *
 * <p>Work stays while the least loaded upstream of the region has a load up to {@link
 * #localLoad()}. Above that it may go to a region whose load, with the penalty added, is lower.
 *
 * @param localLoad requests for each unit of capacity up to which work stays
 * @param awayPenalty load that is added to another region, for the way there and its price
 */
public record SpillRule(double localLoad, double awayPenalty) {
    private static final double DEFAULT_LOCAL_LOAD = 1.5;
    private static final double DEFAULT_AWAY_PENALTY = 0.5;
    private static final double MOST_TO_SEND = 0.8;

    /**
     * Rule without settings.
     *
     * @return the default rule
     */
    public static SpillRule defaults() {
        return new SpillRule(DEFAULT_LOCAL_LOAD, DEFAULT_AWAY_PENALTY);
    }

    /**
     * Rule under which work leaves only if no upstream of the region takes it.
     *
     * @return the rule
     */
    public static SpillRule never() {
        return new SpillRule(Double.POSITIVE_INFINITY, 0);
    }

    /**
     * Tells whether the load of other regions is worth knowing.
     *
     * @param local load of the least loaded upstream here
     * @return true above the load up to which work stays
     */
    public boolean isBusy(double local) {
        return local > localLoad;
    }

    /**
     * Part of the work that should leave. It grows with the difference and is never all of it, so
     * that many VMs which hear of the same idle region do not all send everything there.
     *
     * @param local load of the least loaded upstream here
     * @param remote load of the other region
     * @return from 0 to 0.8
     */
    public double partToSend(double local, double remote) {
        double gain = local - remote - awayPenalty;
        if (!isBusy(local) || !(gain > 0)) {
            return 0;
        }
        return Math.min(MOST_TO_SEND, gain / local);
    }
}
