package io.vanillapoint.core.attempt;

import io.vanillapoint.core.published.RouteSpec;

/**
 * Decides whether a request is sent again after an attempt has ended.
 *
 * <p>Invariants: a request that may run only once is never sent again once it may have run; no
 * request runs on more replicas than its route allows. What was not sent costs nobody anything and
 * is not limited by the route, but ends after a few replicas in a row so that a caller is not held.
 * Stateless.
 */
public final class AttemptRules {
    /** Replicas that may be found unreachable before the caller is told. */
    private static final int UNSENT_LIMIT = 4;

    /** Replicas that may reject a request beyond the attempts of its route. */
    private static final int REJECTED_EXTRA = 1;

    private AttemptRules() {}

    /**
     * Tells whether another attempt may be made, apart from the budget for retries.
     *
     * @param route route of the request
     * @param history what was tried, the last attempt included
     * @param end how the last attempt ended
     * @return true if it may
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
