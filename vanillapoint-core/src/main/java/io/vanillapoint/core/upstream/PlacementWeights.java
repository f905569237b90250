package io.vanillapoint.core.upstream;

/**
 * Costs of a placement, as fractions of the value of a request. Immutable.
 *
 * @param lateAnswer loss for a late response: operators value it at a third of one in time
 * @param recomputedPerKiloToken loss per 1,000 shared prompt tokens that are processed again
 * @param crossRegionPerKilobyte loss per 1,000 bytes sent to another region
 * @param initialRoundTripMillis round-trip time to another region until one was measured
 * @param maxTargetMultiple expected time, in multiples of the target, beyond which a request is
 *     refused at once
 */
public record PlacementWeights(
        double lateAnswer,
        double recomputedPerKiloToken,
        double crossRegionPerKilobyte,
        double initialRoundTripMillis,
        double maxTargetMultiple) {
    /** Weights derived from the operators' price lists. */
    public static final PlacementWeights DEFAULT =
            new PlacementWeights(0.7, 0.033, 0.0023, 112, 3.0);
}
