package io.vanillapoint.entry.traffic;

import io.vanillapoint.core.attempt.AttemptHistory;
import io.vanillapoint.core.attempt.AttemptOutcome;
import java.util.Locale;

/**
 * A final error response of the gateway itself. Immutable.
 *
 * @param status HTTP status
 * @param reason stable machine-readable reason for callers and logs
 * @param notRun true if the request has not run and never will
 * @param attempted true if an attempt has reached, or may have reached, a replica
 * @param retryAfterMillis delay before a retry, 0 if a retry would not help
 */
public record Refusal(
        int status, String reason, boolean notRun, boolean attempted, long retryAfterMillis) {
    /** Status of a request that has not run because of a temporary lack of capacity. */
    public static final int UNAVAILABLE = 503;

    /** Status of a request that exceeds its customer's rate limit. */
    public static final int TOO_MANY_REQUESTS = 429;

    /** Reason of a request whose deadline has passed. */
    static final String TIMEOUT = "timeout";

    /** Reason of a request that has too little time left for an attempt. */
    static final String NO_TIME = "no_time";

    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;

    /**
     * Refuses a request that has not run.
     *
     * @param reason reason for the caller
     * @param retryAfterMillis delay before a retry, 0 if a retry would not help
     * @return the refusal
     */
    public static Refusal notRun(String reason, long retryAfterMillis) {
        return new Refusal(UNAVAILABLE, reason, true, false, retryAfterMillis);
    }

    /**
     * Refuses a request that replicas have rejected without running it.
     *
     * @param reason reason for the caller
     * @param retryAfterMillis delay before a retry, 0 if a retry would not help
     * @return the refusal
     */
    public static Refusal rejected(String reason, long retryAfterMillis) {
        return new Refusal(UNAVAILABLE, reason, true, true, retryAfterMillis);
    }

    /** Reason of a request whose last attempt has ended without a response. */
    static String reason(AttemptOutcome outcome, String cause) {
        return outcome == AttemptOutcome.FAILED
                ? "replica_" + cause.replace(' ', '_')
                : "attempt_" + outcome.name().toLowerCase(Locale.ROOT);
    }

    /**
     * Tells whether a reason is that of a request without time left, which says nothing about the
     * replicas.
     *
     * @param reason reason of a refusal
     * @return true if the deadline was the reason
     */
    public static boolean isExpired(String reason) {
        return reason.equals(TIMEOUT) || reason.equals(NO_TIME);
    }

    /**
     * Refuses a request that is malformed or not allowed.
     *
     * @param status HTTP status
     * @param reason reason for the caller
     * @return the refusal
     */
    public static Refusal denied(int status, String reason) {
        return new Refusal(status, reason, true, false, 0);
    }

    /**
     * Refuses a request because its customer's tokens are used up.
     *
     * @param retryAfterMillis delay until enough tokens are available
     * @return the refusal
     */
    public static Refusal rateExceeded(long retryAfterMillis) {
        return new Refusal(TOO_MANY_REQUESTS, "rate_exceeded", true, false, retryAfterMillis);
    }

    /**
     * Ends a request after its attempts, truthful about whether it may have run.
     *
     * @param history attempts of the request
     * @param expired true if its deadline has passed
     * @param reason reason for the caller
     * @param retryAfterMillis delay before a retry, if it has not run
     * @return the refusal
     */
    static Refusal after(
            AttemptHistory history, boolean expired, String reason, long retryAfterMillis) {
        if (history.mayHaveRun()) {
            return expired ? timedOut() : failed(reason);
        }
        return history.sent() > 0
                ? rejected(reason, retryAfterMillis)
                : notRun(reason, retryAfterMillis);
    }

    /**
     * Fails a request that may have run.
     *
     * @param reason reason for the caller
     * @return the refusal
     */
    public static Refusal failed(String reason) {
        return new Refusal(BAD_GATEWAY, reason, false, true, 0);
    }

    /**
     * Fails a request that may have run and has exceeded its deadline.
     *
     * @return the refusal
     */
    public static Refusal timedOut() {
        return new Refusal(GATEWAY_TIMEOUT, TIMEOUT, false, true, 0);
    }
}
