package io.vanillapoint.core.time;

/**
 * Combines a monotonic and a wall clock into {@link ClockReading}s.
 *
 * <p>Invariant: the cautious time never goes back and advances by at least the monotonic time. Not
 * safe for use by several threads.
 */
public final class CautiousClock {
    private long lastMonotonic;
    private long lastWall;
    private long cautious;

    /**
     * Creates a clock.
     *
     * @param monotonicMillis monotonic time at the start
     * @param wallMillis wall time at the start
     */
    public CautiousClock(long monotonicMillis, long wallMillis) {
        this.lastMonotonic = monotonicMillis;
        this.lastWall = wallMillis;
        this.cautious = monotonicMillis;
    }

    /**
     * Turns two clock values into a reading.
     *
     * @param monotonicMillis monotonic time now
     * @param wallMillis wall time now
     * @return the reading
     */
    public ClockReading read(long monotonicMillis, long wallMillis) {
        long monotonicElapsed = Math.max(0, monotonicMillis - lastMonotonic);
        long wallElapsed = Math.max(0, wallMillis - lastWall);
        cautious += Math.max(monotonicElapsed, wallElapsed);
        lastMonotonic = Math.max(lastMonotonic, monotonicMillis);
        lastWall = wallMillis;
        return new ClockReading(lastMonotonic, cautious);
    }
}
