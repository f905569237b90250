package io.vanillapoint.core.retry;

import java.util.HashMap;
import java.util.Map;

/**
 * This VM's part of the retries that all VMs together may send to a service.
 *
 * <p>Load pattern: an outage makes every request worth a retry on all VMs, while processes are
 * killed and start again.
 *
 * <p>Safety argument: in any window a VM makes at most a part of a retry for each request that it
 * took itself in that window, and its share of the slack. The first parts add up to less than the
 * ratio for each request, however many VMs there are and however often they start, since every
 * request is counted by one process. A share of the slack is spent only by a process that has run
 * for a whole window, so that two processes of one VM never both spend it in the same window, and
 * that has heard of VMs of all regions, so that it knows how many share it. Confined to one thread.
 */
public final class RetryAllowance {
    /** Part of the slack that is spent; the rest covers VMs that count in different moments. */
    private static final double SLACK_PART = 0.8;

    /** Part of the ratio that is spent, for the same reason. */
    private static final double RATIO_PART = 0.8;

    private final RetryBounds bounds;
    private final long startedAtMillis;
    private final Map<String, RetryWindow> windows = new HashMap<>();
    private int vms = 1;
    private boolean allRegionsKnown;

    /**
     * Creates the allowance of a process that knows nothing yet.
     *
     * @param bounds bounds over all VMs
     * @param nowMillis steady time at which the process starts
     */
    public RetryAllowance(RetryBounds bounds, long nowMillis) {
        this.bounds = bounds;
        this.startedAtMillis = nowMillis;
    }

    /**
     * Sets how many VMs share the bounds. A fleet that shrinks keeps its smaller parts, since the
     * others may only be cut off.
     *
     * @param count VMs, this one included
     * @param regionsKnown true if VMs of all regions have been heard of
     */
    public void fleet(int count, boolean regionsKnown) {
        vms = Math.max(vms, count);
        allRegionsKnown |= regionsKnown;
    }

    /**
     * Counts a request that a caller sent to this VM.
     *
     * @param service name of its service
     * @param nowMillis steady time
     */
    public void request(String service, long nowMillis) {
        window(service).request(nowMillis);
    }

    /**
     * Asks for a retry.
     *
     * @param service name of the service
     * @param nowMillis steady time
     * @return true if it may be made
     */
    public boolean take(String service, long nowMillis) {
        if (left(service, nowMillis) < 1) {
            return false;
        }
        window(service).retry(nowMillis);
        return true;
    }

    /**
     * Retries that this VM may make now.
     *
     * @param service name of the service
     * @param nowMillis steady time
     * @return number, one or more if {@link #take} would grant one
     */
    public double left(String service, long nowMillis) {
        RetryWindow window = window(service);
        double earned = bounds.ratio() * RATIO_PART * window.requests(nowMillis);
        return earned + slackPart(nowMillis) - window.retries(nowMillis);
    }

    /**
     * VMs that share the bounds as far as this one knows.
     *
     * @return number, this VM included
     */
    public int vms() {
        return vms;
    }

    private double slackPart(long nowMillis) {
        boolean ranForAWindow = nowMillis - startedAtMillis > bounds.windowMillis();
        return ranForAWindow && allRegionsKnown ? bounds.slack() * SLACK_PART / vms : 0;
    }

    private RetryWindow window(String service) {
        return windows.computeIfAbsent(service, unused -> new RetryWindow(bounds.windowMillis()));
    }
}
