package io.vanillapoint.core.time;

/**
 * One reading of the process's clocks, taken by the caller of the decision code.
 *
 * <p>A holder of a lease must never think that less time has passed than really has, so it counts
 * {@link #cautiousMillis()}, which advances by the larger of the elapsed monotonic and wall time. A
 * giver of a lease must never think that more time has passed, so it counts {@link
 * #monotonicMillis()}. Immutable.
 *
 * @param monotonicMillis monotonic time in milliseconds
 * @param cautiousMillis time in milliseconds that also covers suspension and steps of the wall
 *     clock
 * @param monotonicNanos monotonic time in nanoseconds, for amounts that grow with time: a coarse
 *     clock would let a window take in one tick too much
 */
public record ClockReading(long monotonicMillis, long cautiousMillis, long monotonicNanos) {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * Reading of a clock that never steps and is never suspended.
     *
     * @param millis milliseconds
     * @return a reading with both times equal
     */
    public static ClockReading steady(long millis) {
        return new ClockReading(millis, millis, millis * NANOS_PER_MILLI);
    }
}
