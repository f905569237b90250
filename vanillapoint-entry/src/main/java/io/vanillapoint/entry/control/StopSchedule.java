package io.vanillapoint.entry.control;

/**
 * Decides when a draining VM checks whether it can stop, and when it stops regardless.
 *
 * <p>Invariant: one check falls exactly on the cutoff, so that the process ends by itself before
 * the platform kills it. Immutable.
 *
 * @param minDrainMillis time after the stop request during which callers may still connect
 * @param cutoffMillis time after the stop request at which running requests are cut off
 * @param checkIntervalMillis interval between two checks
 */
public record StopSchedule(long minDrainMillis, long cutoffMillis, long checkIntervalMillis) {
    /**
     * Time until the next check.
     *
     * @param elapsedMillis time since the stop request
     * @return milliseconds, at least 1
     */
    public long nextCheckDelayMillis(long elapsedMillis) {
        return Math.max(1, Math.min(checkIntervalMillis, cutoffMillis - elapsedMillis));
    }

    /**
     * Tells whether the process should stop now.
     *
     * @param elapsedMillis time since the stop request
     * @param idle true if no request is running
     * @return true if it should
     */
    public boolean shouldStop(long elapsedMillis, boolean idle) {
        return elapsedMillis >= cutoffMillis || (idle && elapsedMillis >= minDrainMillis);
    }
}
