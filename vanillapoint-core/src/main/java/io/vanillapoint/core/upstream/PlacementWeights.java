package io.vanillapoint.core.upstream;

/**
 * Costs of a placement, as fractions of the value of a request. Immutable.
 *
 * @param late loss for a late answer: operators value it at a third of one in time
 * @param rereadPerKiloToken loss per 1,000 shared prompt tokens that are processed again
 * @param crossingPerKilobyte loss per 1,000 bytes sent to another region
 * @param regionRoundTripMillis round-trip time to another region until one was measured
 * @param refuseAtTargets expected time, in multiples of the target, beyond which a request is
 *     refused at once
 */
public record PlacementWeights(
        double late,
        double rereadPerKiloToken,
        double crossingPerKilobyte,
        double regionRoundTripMillis,
        double refuseAtTargets) {
    /** Weights derived from the operators' price lists. */
    public static final PlacementWeights DEFAULT =
            new PlacementWeights(0.7, 0.033, 0.0023, 112, 3.0);
}
