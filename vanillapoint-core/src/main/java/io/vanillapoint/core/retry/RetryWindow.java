package io.vanillapoint.core.retry;

import java.util.Arrays;

/**
 * Requests and retries of the last window, counted in slots of equal length.
 *
 * <p>Invariant: retries are counted for a window and at most one slot more, requests for at most a
 * window, so that the quotient of the two is never too small. Confined to one thread.
 */
final class RetryWindow {
    /** Slots of a window: the fewer, the sooner requests are forgotten. */
    private static final int SLOTS = 20;

    private final long slotMillis;
    private final int[] requests = new int[SLOTS + 1];
    private final int[] retries = new int[SLOTS + 1];
    private long newestSlot = Long.MIN_VALUE;

    RetryWindow(long windowMillis) {
        slotMillis = Math.max(1, (windowMillis + SLOTS - 1) / SLOTS);
    }

    void request(long nowMillis) {
        requests[place(nowMillis)]++;
    }

    void retry(long nowMillis) {
        retries[place(nowMillis)]++;
    }

    int requests(long nowMillis) {
        int oldest = (place(nowMillis) + 1) % requests.length;
        return Arrays.stream(requests).sum() - requests[oldest];
    }

    int retries(long nowMillis) {
        place(nowMillis);
        return Arrays.stream(retries).sum();
    }

    /** Forgets slots that are over. */
    private int place(long nowMillis) {
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
