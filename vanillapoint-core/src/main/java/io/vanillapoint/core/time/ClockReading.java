package io.vanillapoint.core.time;

/**
 * One reading of the process's clocks, taken by the caller of the decision code.
 *
 * <p>The holder of a lease must never underestimate the elapsed time, so it uses {@link
 * #conservativeMillis()}, which advances by the larger of the elapsed monotonic and wall time. The
 * grantor of a lease must never overestimate it, so it uses {@link #monotonicMillis()}. Immutable.
 *
 * @param monotonicMillis monotonic time in milliseconds
 * @param conservativeMillis time in milliseconds that also covers suspension and steps of the wall
 *     clock
 * @param monotonicNanos monotonic time in nanoseconds, for amounts that grow with time; with a
 *     coarser clock, a window could admit one tick too much
 */
public record ClockReading(long monotonicMillis, long conservativeMillis, long monotonicNanos) {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * Reading of a clock without steps and suspension.
     *
     * @param millis milliseconds
     * @return a reading with equal times
     */
    public static ClockReading monotonic(long millis) {
        return new ClockReading(millis, millis, millis * NANOS_PER_MILLI);
    }
}
