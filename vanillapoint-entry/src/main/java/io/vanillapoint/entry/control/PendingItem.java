package io.vanillapoint.entry.control;

import io.vanillapoint.core.published.StoredItem;

/**
 * A value of the store that is to be applied, after a pause that grows with each failure. Confined
 * to one thread.
 */
final class PendingItem {
    private static final long INITIAL_PAUSE_MILLIS = 200;

    private final StoredItem item;
    private final String source;
    private final boolean storeWasUnavailable;
    private long pauseMillis;
    private int failures;
    private long dueAtMillis = Long.MIN_VALUE;

    /**
     * Creates an item that is due.
     *
     * @param item the value
     * @param source where it came from, for the log
     * @param storeWasUnavailable true if entries of live replicas may have expired because the
     *     store was unavailable
     */
    PendingItem(StoredItem item, String source, boolean storeWasUnavailable) {
        this.item = item;
        this.source = source;
        this.storeWasUnavailable = storeWasUnavailable;
    }

    StoredItem item() {
        return item;
    }

    String source() {
        return source;
    }

    boolean storeWasUnavailable() {
        return storeWasUnavailable;
    }

    boolean due(long nowMillis) {
        return nowMillis >= dueAtMillis;
    }

    /** Tells whether it failed more than once; one failure may be a passing lack of memory. */
    boolean failsRepeatedly() {
        return failures > 1;
    }

    /** Makes the item due after a pause, which grows up to a maximum. */
    void recordFailure(long maxPauseMillis, long nowMillis) {
        failures++;
        pauseMillis =
                pauseMillis == 0 ? INITIAL_PAUSE_MILLIS : Math.min(maxPauseMillis, 2 * pauseMillis);
        dueAtMillis = nowMillis + pauseMillis;
    }
}
