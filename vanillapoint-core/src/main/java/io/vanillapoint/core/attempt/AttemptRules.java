package io.vanillapoint.core.attempt;

import io.vanillapoint.core.published.RouteSpec;

/**
 * Decides whether a request is retried after a failed attempt.
 *
 * <p>Invariants: a request that may run only once is never sent again once it may have run; no
 * request runs on more replicas than its route allows. Unsent attempts put no load on replicas, so
 * the route does not limit them; a fixed limit keeps the caller from waiting too long. Stateless.
 */
public final class AttemptRules {
    /** Unsent attempts after which the request fails. */
    private static final int UNSENT_LIMIT = 4;

    /** Attempts beyond the limit of the route while all replicas have rejected the request. */
    private static final int REJECTED_EXTRA = 1;

    private AttemptRules() {}

    /**
     * Tells whether another attempt is allowed. Does not check the retry budget.
     *
     * @param route route of the request
     * @param history attempts so far, including the last one
     * @param end outcome of the last attempt
     * @return true if another attempt is allowed
     */
    public static boolean mayTryAgain(RouteSpec route, AttemptHistory history, AttemptEnd end) {
        if (!end.reached()) {
            return history.unsent() < UNSENT_LIMIT
                    && (!history.mayHaveRun() || history.sent() < route.attempts());
        }
        if (history.mayHaveRun()) {
            return route.mayRunAgain() && history.sent() < route.attempts();
        }
        return history.sent() < route.attempts() + REJECTED_EXTRA;
    }
}
