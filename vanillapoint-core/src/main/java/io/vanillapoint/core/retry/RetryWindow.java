package io.vanillapoint.core.retry;

import java.util.Arrays;

/**
 * Counts requests and retries over a sliding window that consists of slots of equal length.
 *
 * <p>Invariant: retries are counted for one window plus at most one slot, requests for at most one
 * window, so that the ratio of retries to requests is never underestimated. Confined to one thread.
 */
final class RetryWindow {
    /** Slots per window; with fewer slots, requests expire earlier. */
    private static final int SLOTS = 20;

    private final long slotMillis;
    private final int[] requests = new int[SLOTS + 1];
    private final int[] retries = new int[SLOTS + 1];
    private long newestSlot = Long.MIN_VALUE;

    RetryWindow(long windowMillis) {
        slotMillis = Math.max(1, (windowMillis + SLOTS - 1) / SLOTS);
    }

    void recordRequest(long nowMillis) {
        requests[advanceTo(nowMillis)]++;
    }

    void recordRetry(long nowMillis) {
        retries[advanceTo(nowMillis)]++;
    }

    int requests(long nowMillis) {
        int oldest = (advanceTo(nowMillis) + 1) % requests.length;
        return Arrays.stream(requests).sum() - requests[oldest];
    }

    int retries(long nowMillis) {
        advanceTo(nowMillis);
        return Arrays.stream(retries).sum();
    }

    /** Clears expired slots and returns the index of the newest one. */
    private int advanceTo(long nowMillis) {
        long slot = Math.floorDiv(nowMillis, slotMillis);
        long first = Math.max(newestSlot + 1, slot - SLOTS);
        for (long next = first; next <= slot; next++) {
            requests[Math.floorMod(next, requests.length)] = 0;
            retries[Math.floorMod(next, retries.length)] = 0;
        }
        newestSlot = Math.max(newestSlot, slot);
        return Math.floorMod(newestSlot, requests.length);
    }
}
