package io.vanillapoint.entry.traffic;

/**
 * A final answer of the system's own. Immutable.
 *
 * @param status HTTP status
 * @param reason stable text for callers and logs
 * @param notRun true if the request has not run and never will
 * @param reachedReplica true if a replica has seen the request and turned it away
 * @param retryAfterMillis when to come back, 0 if that would not help
 */
public record Refusal(
        int status, String reason, boolean notRun, boolean reachedReplica, long retryAfterMillis) {
    /** Status of a request that has not run since there is no room for it now. */
    public static final int UNAVAILABLE = 503;

    /** Status of a request beyond its customer's rate. */
    public static final int TOO_MANY_REQUESTS = 429;

    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;

    /**
     * The request has not run.
     *
     * @param reason why
     * @param retryAfterMillis when to come back
     * @return the refusal
     */
    public static Refusal notRun(String reason, long retryAfterMillis) {
        return new Refusal(UNAVAILABLE, reason, true, false, retryAfterMillis);
    }

    /**
     * Replicas have turned the request away without running it.
     *
     * @param reason why
     * @param retryAfterMillis when to come back
     * @return the refusal
     */
    public static Refusal rejected(String reason, long retryAfterMillis) {
        return new Refusal(UNAVAILABLE, reason, true, true, retryAfterMillis);
    }

    /**
     * The request is not allowed or malformed.
     *
     * @param status HTTP status
     * @param reason why
     * @return the refusal
     */
    public static Refusal denied(int status, String reason) {
        return new Refusal(status, reason, true, false, 0);
    }

    /**
     * The customer's tokens are spent.
     *
     * @param retryAfterMillis when there will be room
     * @return the refusal
     */
    public static Refusal rateExceeded(long retryAfterMillis) {
        return new Refusal(TOO_MANY_REQUESTS, "rate_exceeded", true, false, retryAfterMillis);
    }

    /**
     * The request may have run.
     *
     * @param reason what failed
     * @return the refusal
     */
    public static Refusal failed(String reason) {
        return new Refusal(BAD_GATEWAY, reason, false, true, 0);
    }

    /**
     * The time is over and the request may have run.
     *
     * @return the refusal
     */
    public static Refusal timedOut() {
        return new Refusal(GATEWAY_TIMEOUT, "timeout", false, true, 0);
    }
}
