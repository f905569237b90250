package io.vanillapoint.core.upstream;

/** Estimates when outstanding work leaves capacity for a request. Confined to one thread. */
public interface CapacityEstimator {
    /**
     * Estimates when a replica has capacity.
     *
     * @param query the request; the time that has elapsed since its caller sent it does not count,
     *     since the caller sends it anew
     * @param nowMillis monotonic time
     * @return the estimate
     */
    CapacityEstimate estimate(PlacementQuery query, long nowMillis);
}
