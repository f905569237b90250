package io.vanillapoint.core.retry;

/**
 * Limits retries to a part of the requests, so that an outage is not answered with a stampede.
 *
 * <p>Each request adds a part of a retry to the budget and each retry takes one; a small allowance
 * flows in over time, so that a quiet VM can retry too. Invariant: the budget lies between 0 and
 * its cap. Confined to one thread.
 */
public final class RetryBudget {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final double retriesPerRequest;
    private final double retriesPerSecond;
    private final double cap;
    private double budget;
    private long atMillis;

    /**
     * Creates a full budget.
     *
     * @param retriesPerRequest retries that each request allows, for example 0.2
     * @param retriesPerSecond retries that are always allowed
     * @param cap largest number of retries at once
     * @param nowMillis time
     */
    public RetryBudget(
            double retriesPerRequest, double retriesPerSecond, double cap, long nowMillis) {
        this.retriesPerRequest = retriesPerRequest;
        this.retriesPerSecond = retriesPerSecond;
        this.cap = cap;
        this.budget = cap;
        this.atMillis = nowMillis;
    }

    /** Counts a request. */
    public void request() {
        budget = Math.min(cap, budget + retriesPerRequest);
    }

    /**
     * Asks for a retry.
     *
     * @param nowMillis time
     * @return true if it may be made
     */
    public boolean takeRetry(long nowMillis) {
        if (left(nowMillis) < 1) {
            return false;
        }
        budget -= 1;
        return true;
    }

    /**
     * Retries that may be made now.
     *
     * @param nowMillis time
     * @return number, a fraction is kept for later
     */
    public double left(long nowMillis) {
        double inflow = (nowMillis - atMillis) * retriesPerSecond / MILLIS_PER_SECOND;
        budget = Math.min(cap, budget + Math.max(0, inflow));
        atMillis = Math.max(atMillis, nowMillis);
        return budget;
    }
}
