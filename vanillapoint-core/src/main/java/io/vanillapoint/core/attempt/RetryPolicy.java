package io.vanillapoint.core.attempt;

import io.vanillapoint.core.published.RouteSpec;

/**
 * Decides whether a request is retried after a failed attempt.
 *
 * <p>Invariants: a request that may run only once is never sent again once it may have run; no
 * request runs on more replicas than its route allows. Unsent attempts put no load on replicas, so
 * the route does not limit them; a fixed limit keeps the caller from waiting too long. Stateless.
 */
public final class RetryPolicy {
    /** Unsent attempts after which the request fails. */
    private static final int MAX_UNSENT_ATTEMPTS = 4;

    /** Attempts beyond the limit of the route while all replicas have rejected the request. */
    private static final int EXTRA_REJECTED_ATTEMPTS = 1;

    private RetryPolicy() {}

    /**
     * Tells whether another attempt is allowed. Does not check the retry budget.
     *
     * @param route route of the request
     * @param history attempts so far, including the last one
     * @param outcome outcome of the last attempt
     * @return true if another attempt is allowed
     */
    public static boolean mayRetry(
            RouteSpec route, AttemptHistory history, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.QUARANTINED) {
            return false;
        }
        if (!outcome.mayHaveReached()) {
            return history.unsent() < MAX_UNSENT_ATTEMPTS
                    && (!history.mayHaveRun() || history.sent() < route.attempts());
        }
        if (history.mayHaveRun()) {
            return route.mayRunAgain() && history.sent() < route.attempts();
        }
        return history.sent() < route.attempts() + EXTRA_REJECTED_ATTEMPTS;
    }

    /**
     * Tells whether another attempt may be started beside one that makes no progress. Does not
     * check the retry budget.
     *
     * @param route route of the request
     * @param history attempts so far
     * @return true if another attempt is allowed
     */
    public static boolean mayReplace(RouteSpec route, AttemptHistory history) {
        return route.mayRunAgain()
                && history.sent() < route.attempts()
                && history.unsent() < MAX_UNSENT_ATTEMPTS;
    }
}
