package io.vanillapoint.core.published;

/**
 * Size and time limits for callers. Immutable.
 *
 * @param headerBytes largest request head in bytes
 * @param bodyBytes largest body in bytes
 * @param headerTimeoutMillis longest time for a request head
 * @param idleTimeoutMillis longest idle time of a connection
 */
public record TrafficLimits(
        int headerBytes, long bodyBytes, int headerTimeoutMillis, int idleTimeoutMillis) {
    /** Limits until a configuration is known: the usual defaults of HTTP servers. */
    public static final TrafficLimits DEFAULT =
            new TrafficLimits(16_384, 4_194_304, 10_000, 60_000);
}
