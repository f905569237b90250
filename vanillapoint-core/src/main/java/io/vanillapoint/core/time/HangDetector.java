package io.vanillapoint.core.time;

/**
 * Decides whether an event loop hangs, from readings that another thread takes at intervals.
 *
 * <p>Only time for which the observing thread was scheduled counts: of a gap between two readings
 * that is longer than {@code maxStepMillis}, that much counts. So a process that is frozen as a
 * whole, or gets hardly any processor time, is not taken for one that hangs. Confined to the
 * observing thread.
 */
public final class HangDetector {
    private final long limitMillis;
    private final long maxStepMillis;
    private long lastIterations = -1;
    private long lastReadingMillis;
    private long stalledMillis;

    /**
     * Creates a detector that has no reading.
     *
     * @param limitMillis observed time without an iteration after which a loop hangs
     * @param maxStepMillis longest time between two readings that counts in full
     */
    public HangDetector(long limitMillis, long maxStepMillis) {
        this.limitMillis = limitMillis;
        this.maxStepMillis = maxStepMillis;
    }

    /**
     * Takes a reading.
     *
     * @param iterations number of iterations that the loop has completed, 0 or more
     * @param nowMillis monotonic time
     * @return true if the loop hangs
     */
    public boolean hangs(long iterations, long nowMillis) {
        if (iterations != lastIterations) {
            lastIterations = iterations;
            stalledMillis = 0;
        } else {
            stalledMillis += Math.min(maxStepMillis, nowMillis - lastReadingMillis);
        }
        lastReadingMillis = nowMillis;
        return stalledMillis >= limitMillis;
    }
}
