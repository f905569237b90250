package io.vanillapoint.entry.traffic;

/**
 * Tells from a periodic tick whether the event loop is behind.
 *
 * <p>Load pattern: all VMs have lost power and come back to the callers' retries with a fraction of
 * a core, so that seconds pass between the arrival of bytes and their turn. Confined to one thread.
 */
public final class LoopLag {
    /** A loop in good order is late by a few milliseconds; a tenth of a second is felt. */
    private static final long BEHIND_MILLIS = 100;

    /** Ticks that were missed come in a row; the loop counts as behind for this long after one. */
    private static final long MEMORY_MILLIS = 1_000;

    private final long intervalMillis;
    private long tickedAtMillis;
    private long behindUntilMillis = Long.MIN_VALUE;
    private long lastDelayMillis;

    /**
     * Starts to measure.
     *
     * @param intervalMillis time between two ticks
     * @param nowMillis steady time
     */
    public LoopLag(long intervalMillis, long nowMillis) {
        this.intervalMillis = intervalMillis;
        this.tickedAtMillis = nowMillis;
    }

    /**
     * To be called with each tick.
     *
     * @param nowMillis steady time
     */
    public void tick(long nowMillis) {
        lastDelayMillis = delay(nowMillis);
        if (lastDelayMillis >= BEHIND_MILLIS) {
            behindUntilMillis = nowMillis + MEMORY_MILLIS;
        }
        tickedAtMillis = nowMillis;
    }

    /**
     * Tells whether the loop is behind or was so a moment ago.
     *
     * @param nowMillis steady time
     * @return true if bytes may have waited for their turn
     */
    public boolean behind(long nowMillis) {
        return nowMillis < behindUntilMillis || delay(nowMillis) >= BEHIND_MILLIS;
    }

    /**
     * Time for which bytes wait for their turn, as the last two ticks show it.
     *
     * @param nowMillis steady time
     * @return milliseconds, 0 or more
     */
    public long delayMillis(long nowMillis) {
        return Math.max(lastDelayMillis, delay(nowMillis));
    }

    private long delay(long nowMillis) {
        return Math.max(0, nowMillis - tickedAtMillis - intervalMillis);
    }
}
