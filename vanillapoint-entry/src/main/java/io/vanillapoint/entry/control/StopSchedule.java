package io.vanillapoint.entry.control;

/**
 * When a VM that was told to stop looks whether it may end, and when it ends in any case.
 *
 * <p>Invariant: a look falls on the moment at which the rest is cut, so that the process ends by
 * itself before it would be killed. Immutable.
 *
 * @param settleMillis time after the order in which callers may still come
 * @param cutMillis time after the order at which requests that still run are cut
 * @param lookMillis time between two looks
 */
public record StopSchedule(long settleMillis, long cutMillis, long lookMillis) {
    /**
     * Time until the next look.
     *
     * @param elapsedMillis time since the order
     * @return milliseconds, 1 or more
     */
    public long nextLookMillis(long elapsedMillis) {
        return Math.max(1, Math.min(lookMillis, cutMillis - elapsedMillis));
    }

    /**
     * Tells whether the process ends now.
     *
     * @param elapsedMillis time since the order
     * @param idle true if no request is under way
     * @return true if it does
     */
    public boolean ends(long elapsedMillis, boolean idle) {
        return elapsedMillis >= cutMillis || (idle && elapsedMillis >= settleMillis);
    }
}
