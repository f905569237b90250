package io.vanillapoint.core.retry;

import java.util.HashMap;
import java.util.Map;

/**
 * This VM's share of the retries that all VMs together may send to a service.
 *
 * <p>Handles outages in which every request on all VMs needs a retry while processes are killed and
 * restarted.
 *
 * <p>Safety argument: in any window a VM grants at most a fraction of a retry for each request that
 * it received itself in that window, plus its share of the slack. The fractions add up to less than
 * the ratio per request for any number of VMs and restarts, since each request is counted by one
 * process. The slack is used only by a process that has run for a whole window, so that two
 * processes of one VM never both use it in the same window, and that knows of VMs in all regions,
 * so that it knows how many VMs share the slack. Confined to one thread.
 */
public final class RetryAllowance {
    /** Fraction of the slack that is used; the rest covers VMs whose windows are not aligned. */
    private static final double USED_SLACK_FRACTION = 0.8;

    /** Fraction of the ratio that is used, for the same reason. */
    private static final double USED_RATIO_FRACTION = 0.8;

    private final RetryBounds bounds;
    private final long startedAtMillis;
    private final Map<String, RetryWindow> windows = new HashMap<>();
    private int vmCount = 1;
    private boolean allRegionsKnown;

    /**
     * Creates the allowance of a process that knows no other VM yet.
     *
     * @param bounds bounds over all VMs
     * @param nowMillis monotonic time at which the process starts
     */
    public RetryAllowance(RetryBounds bounds, long nowMillis) {
        this.bounds = bounds;
        this.startedAtMillis = nowMillis;
    }

    /**
     * Updates the number of VMs that share the bounds. The number never decreases, since VMs that
     * are no longer visible may only be cut off from this one.
     *
     * @param count number of VMs, including this one
     * @param regionsKnown true if VMs of all regions are known
     */
    public void updateVmCount(int count, boolean regionsKnown) {
        vmCount = Math.max(vmCount, count);
        allRegionsKnown |= regionsKnown;
    }

    /**
     * Counts a request that a caller sent to this VM.
     *
     * @param service name of its service
     * @param nowMillis monotonic time
     */
    public void recordRequest(String service, long nowMillis) {
        window(service).recordRequest(nowMillis);
    }

    /**
     * Requests a retry.
     *
     * @param service name of the service
     * @param nowMillis monotonic time
     * @return true if the retry is granted
     */
    public boolean tryAcquire(String service, long nowMillis) {
        if (available(service, nowMillis) < 1) {
            return false;
        }
        window(service).recordRetry(nowMillis);
        return true;
    }

    /**
     * Number of retries that this VM may make now.
     *
     * @param service name of the service
     * @param nowMillis monotonic time
     * @return one or more if {@link #tryAcquire} would grant one
     */
    public double available(String service, long nowMillis) {
        RetryWindow window = window(service);
        double earned = bounds.ratio() * USED_RATIO_FRACTION * window.requests(nowMillis);
        return earned + slackShare(nowMillis) - window.retries(nowMillis);
    }

    /**
     * Number of VMs known to share the bounds.
     *
     * @return one or more, including this VM
     */
    public int vmCount() {
        return vmCount;
    }

    private double slackShare(long nowMillis) {
        boolean ranFullWindow = nowMillis - startedAtMillis > bounds.windowMillis();
        return ranFullWindow && allRegionsKnown
                ? bounds.slack() * USED_SLACK_FRACTION / vmCount
                : 0;
    }

    private RetryWindow window(String service) {
        return windows.computeIfAbsent(service, unused -> new RetryWindow(bounds.windowMillis()));
    }
}
