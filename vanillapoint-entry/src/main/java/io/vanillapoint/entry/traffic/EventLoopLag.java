package io.vanillapoint.entry.traffic;

/**
 * Measures the delay of the event loop with a periodic tick.
 *
 * <p>Handles a restart of all VMs after a power loss: callers' retries meet VMs that have a
 * fraction of a core, so that bytes wait for seconds before they are read. Confined to one thread.
 */
public final class EventLoopLag {
    /** A healthy loop is late by a few milliseconds; callers notice a tenth of a second. */
    private static final long BEHIND_THRESHOLD_MILLIS = 100;

    /** Missed ticks fire back to back, so the loop counts as behind this long after a late one. */
    private static final long BEHIND_HOLD_MILLIS = 1_000;

    private final long intervalMillis;
    private long lastTickMillis;
    private long behindUntilMillis = Long.MIN_VALUE;
    private long lastDelayMillis;

    /**
     * Creates a measurement that starts now.
     *
     * @param intervalMillis time between two ticks
     * @param nowMillis monotonic time
     */
    public EventLoopLag(long intervalMillis, long nowMillis) {
        this.intervalMillis = intervalMillis;
        this.lastTickMillis = nowMillis;
    }

    /**
     * Records a tick.
     *
     * @param nowMillis monotonic time
     */
    public void tick(long nowMillis) {
        lastDelayMillis = delay(nowMillis);
        if (lastDelayMillis >= BEHIND_THRESHOLD_MILLIS) {
            behindUntilMillis = nowMillis + BEHIND_HOLD_MILLIS;
        }
        lastTickMillis = nowMillis;
    }

    /**
     * Tells whether the loop is behind, or was within the last second.
     *
     * @param nowMillis monotonic time
     * @return true if received bytes may have waited to be read
     */
    public boolean isBehind(long nowMillis) {
        return nowMillis < behindUntilMillis || delay(nowMillis) >= BEHIND_THRESHOLD_MILLIS;
    }

    /**
     * Estimated time that received bytes wait to be read, from the last two ticks.
     *
     * @param nowMillis monotonic time
     * @return milliseconds, 0 or more
     */
    public long delayMillis(long nowMillis) {
        return Math.max(lastDelayMillis, delay(nowMillis));
    }

    private long delay(long nowMillis) {
        return Math.max(0, nowMillis - lastTickMillis - intervalMillis);
    }
}
