package io.vanillapoint.core.upstream;

/** Estimates when outstanding work leaves room for a request. Confined to one thread. */
public interface RoomEstimator {
    /**
     * Estimates when a replica has room.
     *
     * @param query the request; the time that has elapsed since its caller sent it does not count,
     *     since the caller sends it anew
     * @param nowMillis monotonic time
     * @return the estimate
     */
    RoomEstimate estimate(PlacementQuery query, long nowMillis);
}
