package io.vanillapoint.entry.control;

/**
 * Decides which requests a draining VM admits, when it checks whether it can stop, and when it
 * stops regardless.
 *
 * <p>Invariants: one check falls exactly on the cutoff, so that the process ends by itself before
 * the platform kills it; a request that is admitted late ends before the cutoff. Immutable.
 *
 * @param minDrainMillis time after the stop request during which callers may still connect
 * @param admitAllMillis time after the stop request during which all requests are admitted, since
 *     most of them end long before their deadlines
 * @param cutoffMillis time after the stop request at which running requests are cut off
 * @param checkIntervalMillis interval between two checks
 */
public record StopSchedule(
        long minDrainMillis, long admitAllMillis, long cutoffMillis, long checkIntervalMillis) {
    /**
     * Tells whether a new request is admitted.
     *
     * @param elapsedMillis time since the stop request
     * @param remainingMillis time until the deadline of the request
     * @return false if the request might be cut off
     */
    public boolean admits(long elapsedMillis, long remainingMillis) {
        return elapsedMillis < admitAllMillis || finishes(elapsedMillis, remainingMillis);
    }

    /**
     * Tells whether a request ends before the cutoff.
     *
     * @param elapsedMillis time since the stop request
     * @param durationMillis time that the request takes from now
     * @return true if it does
     */
    public boolean finishes(long elapsedMillis, long durationMillis) {
        return elapsedMillis + durationMillis <= cutoffMillis;
    }

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
