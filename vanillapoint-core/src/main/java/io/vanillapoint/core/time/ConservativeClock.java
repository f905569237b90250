package io.vanillapoint.core.time;

/**
 * Combines a monotonic and a wall clock into {@link ClockReading}s.
 *
 * <p>Invariant: the conservative time never goes back and advances at least as fast as the
 * monotonic time. Not thread-safe.
 */
public final class ConservativeClock {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private long lastMonotonicMillis;
    private long lastMonotonicNanos;
    private long lastWallMillis;
    private long conservativeMillis;

    /**
     * Creates a clock.
     *
     * @param monotonicNanos monotonic time at the start
     * @param wallMillis wall time at the start
     */
    public ConservativeClock(long monotonicNanos, long wallMillis) {
        this.lastMonotonicNanos = monotonicNanos;
        this.lastMonotonicMillis = monotonicNanos / NANOS_PER_MILLI;
        this.lastWallMillis = wallMillis;
        this.conservativeMillis = lastMonotonicMillis;
    }

    /**
     * Combines two clock values into a reading.
     *
     * @param monotonicNanos monotonic time now
     * @param wallMillis wall time now
     * @return the reading
     */
    public ClockReading read(long monotonicNanos, long wallMillis) {
        long monotonicMillis = monotonicNanos / NANOS_PER_MILLI;
        long monotonicElapsed = Math.max(0, monotonicMillis - lastMonotonicMillis);
        long wallElapsed = Math.max(0, wallMillis - lastWallMillis);
        conservativeMillis += Math.max(monotonicElapsed, wallElapsed);
        lastMonotonicMillis = Math.max(lastMonotonicMillis, monotonicMillis);
        lastMonotonicNanos = Math.max(lastMonotonicNanos, monotonicNanos);
        lastWallMillis = wallMillis;
        return new ClockReading(lastMonotonicMillis, conservativeMillis, lastMonotonicNanos);
    }
}
