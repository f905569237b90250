package io.vanillapoint.core.fleet;

/**
 * Estimates the processor time that the requests of a VM need.
 *
 * <p>Counts requests instead of measuring processor time: a VM whose code is not compiled yet would
 * look busy with few requests, and one that is not scheduled would look idle. Invariant: the
 * estimate rises at once and falls only after {@link #RETENTION_MILLIS}, so that additional VMs are
 * not released between two bursts of requests. Confined to one thread.
 */
public final class LoadMeter {
    /**
     * Processor time of a request on a VM that has just started, in milliseconds of a core: what
     * the users' benchmark charges per request while the code is being compiled
     * (docs/DECISIONS.md).
     */
    static final int REQUEST_CPU_MILLIS = 10;

    /**
     * Window over which requests are counted; longer than the pauses between requests on small VMs.
     */
    private static final long WINDOW_MILLIS = 2_000;

    private static final int WINDOW_COUNT = 5;

    /**
     * Time for which the highest count is kept; longer than callers cache a response of the
     * directory.
     */
    static final long RETENTION_MILLIS = WINDOW_MILLIS * WINDOW_COUNT;

    private final int[] counts = new int[WINDOW_COUNT];
    private long window;

    /**
     * Counts a request.
     *
     * @param nowMillis monotonic time
     */
    public void request(long nowMillis) {
        advance(nowMillis);
        counts[index(window)]++;
    }

    /**
     * Estimates the processor time that the requests need.
     *
     * @param nowMillis monotonic time
     * @return thousandths of a core
     */
    public int milliCores(long nowMillis) {
        advance(nowMillis);
        int maxCount = 0;
        for (int count : counts) {
            maxCount = Math.max(maxCount, count);
        }
        return (int) (maxCount * REQUEST_CPU_MILLIS * MemberInfo.ONE_CORE / WINDOW_MILLIS);
    }

    private void advance(long nowMillis) {
        long current = Math.floorDiv(nowMillis, WINDOW_MILLIS);
        if (current - window >= WINDOW_COUNT) {
            window = current - WINDOW_COUNT;
        }
        while (window < current) {
            counts[index(++window)] = 0;
        }
    }

    private static int index(long window) {
        return (int) Math.floorMod(window, (long) WINDOW_COUNT);
    }
}
