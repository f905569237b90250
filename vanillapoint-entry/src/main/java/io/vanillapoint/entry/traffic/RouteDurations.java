package io.vanillapoint.entry.traffic;

import com.codahale.metrics.Reservoir;
import com.codahale.metrics.SlidingWindowReservoir;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * How long the requests of each route take, by those that were answered last. Confined to one event
 * loop.
 */
public final class RouteDurations {
    private static final int SAMPLES = 128;

    /** With fewer samples the quantile says nothing of the longest ones. */
    private static final int MIN_SAMPLES = 20;

    /** Part of the requests that take no longer than the estimate. */
    private static final double QUANTILE = 0.95;

    private final Map<String, Reservoir> durations = new HashMap<>();

    /**
     * Records a request that was answered with success.
     *
     * @param route name of its route
     * @param millis time from its arrival to the end of its response
     */
    public void record(String route, long millis) {
        durations
                .computeIfAbsent(route, unused -> new SlidingWindowReservoir(SAMPLES))
                .update(millis);
    }

    /**
     * Time within which nearly all requests of a route are answered.
     *
     * @param route name of the route
     * @return milliseconds, empty while too few were answered
     */
    public OptionalLong longMillis(String route) {
        Reservoir samples = durations.get(route);
        return samples == null || samples.size() < MIN_SAMPLES
                ? OptionalLong.empty()
                : OptionalLong.of((long) samples.getSnapshot().getValue(QUANTILE));
    }
}
