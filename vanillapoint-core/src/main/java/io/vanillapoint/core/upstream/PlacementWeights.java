package io.vanillapoint.core.upstream;

/**
 * What a placement costs, as part of the worth of a request. Immutable.
 *
 * @param late loss of an answer that is late: the operators value one at a third of one in time
 * @param rereadPerKiloToken loss per 1,000 shared prompt tokens that are read again
 * @param crossingPerKilobyte loss per 1,000 bytes sent to another region
 * @param regionRoundTripMillis time for a round trip to another region until one was measured
 * @param refuseAtTargets expected time, in targets, beyond which a request is refused at once
 */
public record PlacementWeights(
        double late,
        double rereadPerKiloToken,
        double crossingPerKilobyte,
        double regionRoundTripMillis,
        double refuseAtTargets) {
    /** Weights from the operators' price lists. */
    public static final PlacementWeights DEFAULT =
            new PlacementWeights(0.7, 0.033, 0.0023, 112, 3.0);
}
