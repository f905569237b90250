package io.vanillapoint.core.upstream;

/**
 * When the outstanding work at the replicas that a request may use leaves capacity for it.
 * Immutable.
 *
 * @param availableMillis time until one of them can respond in time, if it gets no other request
 *     until then; 0 if one can now
 * @param occupancyMillis time for which one such request takes up all of them together; more than 0
 */
public record CapacityEstimate(double availableMillis, double occupancyMillis) {
    /** Checks the values. */
    public CapacityEstimate {
        if (!(availableMillis >= 0) || !(occupancyMillis > 0)) {
            throw new IllegalArgumentException(
                    "available in %s ms, occupancy %s ms"
                            .formatted(availableMillis, occupancyMillis));
        }
    }
}
