package io.vanillapoint.core.upstream;

/**
 * When the outstanding work at the replicas that a request may use leaves room for it. Immutable.
 *
 * @param roomMillis time until one of them can respond in time, if it gets no other request until
 *     then; 0 if one can now
 * @param occupancyMillis time for which one such request takes up all of them together; more than 0
 */
public record RoomEstimate(double roomMillis, double occupancyMillis) {
    /** Checks the values. */
    public RoomEstimate {
        if (!(roomMillis >= 0) || !(occupancyMillis > 0)) {
            throw new IllegalArgumentException(
                    "room in %s ms, occupancy %s ms".formatted(roomMillis, occupancyMillis));
        }
    }
}
