package io.vanillapoint.core.time;

/**
 * Combines a monotonic and a wall clock into {@link ClockReading}s.
 *
 * <p>Invariant: the cautious time never goes back and advances at least as fast as the monotonic
 * time. Not thread-safe.
 */
public final class CautiousClock {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private long lastMonotonic;
    private long lastNanos;
    private long lastWall;
    private long cautious;

    /**
     * Creates a clock.
     *
     * @param monotonicNanos monotonic time at the start
     * @param wallMillis wall time at the start
     */
    public CautiousClock(long monotonicNanos, long wallMillis) {
        this.lastNanos = monotonicNanos;
        this.lastMonotonic = monotonicNanos / NANOS_PER_MILLI;
        this.lastWall = wallMillis;
        this.cautious = lastMonotonic;
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
        long monotonicElapsed = Math.max(0, monotonicMillis - lastMonotonic);
        long wallElapsed = Math.max(0, wallMillis - lastWall);
        cautious += Math.max(monotonicElapsed, wallElapsed);
        lastMonotonic = Math.max(lastMonotonic, monotonicMillis);
        lastNanos = Math.max(lastNanos, monotonicNanos);
        lastWall = wallMillis;
        return new ClockReading(lastMonotonic, cautious, lastNanos);
    }
}
