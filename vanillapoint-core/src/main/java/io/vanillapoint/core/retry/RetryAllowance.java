package io.vanillapoint.core.retry;

import java.util.HashMap;
import java.util.Map;

/**
 * This VM's part of the retries that all VMs together may send to a service.
 *
 * <p>Safety argument: the parts of all VMs add up to at most {@link #SLACK_PART} of the slack in a
 * burst, as much again over a window, and less than the ratio for each request. Confined to one
 * thread.
 */
public final class RetryAllowance {
    /** Part of the slack that may be spent at once, and again in the course of a window. */
    private static final double SLACK_PART = 0.4;

    /** Part of the ratio that is spent; the rest covers VMs that count different windows. */
    private static final double RATIO_PART = 0.8;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final RetryBounds bounds;
    private final Map<String, RetryBudget> budgets = new HashMap<>();
    private int vms = 1;

    /**
     * Creates an allowance.
     *
     * @param bounds bounds over all VMs
     */
    public RetryAllowance(RetryBounds bounds) {
        this.bounds = bounds;
    }

    /**
     * Sets how many VMs share the bounds. A fleet that shrinks keeps its smaller parts, since the
     * others may only be cut off.
     *
     * @param count VMs, this one included
     */
    public void vms(int count) {
        if (count > vms) {
            vms = count;
            budgets.clear();
        }
    }

    /**
     * Counts a request.
     *
     * @param service name of its service
     * @param nowMillis steady time
     */
    public void request(String service, long nowMillis) {
        budget(service, nowMillis).request();
    }

    /**
     * Asks for a retry.
     *
     * @param service name of the service
     * @param nowMillis steady time
     * @return true if it may be made
     */
    public boolean take(String service, long nowMillis) {
        return budget(service, nowMillis).takeRetry(nowMillis);
    }

    /**
     * Retries that this VM may make now.
     *
     * @param service name of the service
     * @param nowMillis steady time
     * @return number, a fraction is kept for later
     */
    public double left(String service, long nowMillis) {
        return budget(service, nowMillis).left(nowMillis);
    }

    /**
     * VMs that share the bounds as far as this one knows.
     *
     * @return number, this VM included
     */
    public int vms() {
        return vms;
    }

    private RetryBudget budget(String service, long nowMillis) {
        return budgets.computeIfAbsent(service, unused -> create(nowMillis));
    }

    private RetryBudget create(long nowMillis) {
        double part = bounds.slack() * SLACK_PART / vms;
        double perSecond = part * MILLIS_PER_SECOND / bounds.windowMillis();
        return new RetryBudget(
                bounds.ratio() * RATIO_PART, perSecond, Math.max(1, part), nowMillis);
    }
}
