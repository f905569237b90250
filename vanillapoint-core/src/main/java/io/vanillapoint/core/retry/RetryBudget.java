package io.vanillapoint.core.retry;

/**
 * Limits retries to a fraction of the requests, so that an outage does not cause a retry storm.
 *
 * <p>Each request adds a fraction of a retry to the budget and each retry takes one; the budget
 * also refills slowly over time, so that a VM with few requests can retry too. Invariant: the
 * budget lies between 0 and its cap. Confined to one thread.
 */
public final class RetryBudget {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final double retriesPerRequest;
    private final double retriesPerSecond;
    private final double cap;
    private double budget;
    private long lastRefillMillis;

    /**
     * Creates a full budget.
     *
     * @param retriesPerRequest retries added per request, for example 0.2
     * @param retriesPerSecond retries added per second
     * @param cap upper limit of the budget
     * @param nowMillis time
     */
    public RetryBudget(
            double retriesPerRequest, double retriesPerSecond, double cap, long nowMillis) {
        this.retriesPerRequest = retriesPerRequest;
        this.retriesPerSecond = retriesPerSecond;
        this.cap = cap;
        this.budget = cap;
        this.lastRefillMillis = nowMillis;
    }

    /** Counts a request. */
    public void recordRequest() {
        budget = Math.min(cap, budget + retriesPerRequest);
    }

    /**
     * Requests a retry.
     *
     * @param nowMillis time
     * @return true if the retry is granted
     */
    public boolean tryAcquire(long nowMillis) {
        if (available(nowMillis) < 1) {
            return false;
        }
        budget -= 1;
        return true;
    }

    /**
     * Number of retries that may be made now.
     *
     * @param nowMillis time
     * @return zero or more, with a fraction
     */
    public double available(long nowMillis) {
        double refill = (nowMillis - lastRefillMillis) * retriesPerSecond / MILLIS_PER_SECOND;
        budget = Math.min(cap, budget + Math.max(0, refill));
        lastRefillMillis = Math.max(lastRefillMillis, nowMillis);
        return budget;
    }
}
