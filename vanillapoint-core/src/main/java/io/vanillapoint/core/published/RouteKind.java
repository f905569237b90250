package io.vanillapoint.core.published;

/** What may be repeated on a route. Immutable. */
public enum RouteKind {
    /** A request may run any number of times. */
    IDEMPOTENT {
        @Override
        public boolean mayRunAgain(boolean resumable) {
            return true;
        }
    },
    /** A request runs at most once. */
    AT_MOST_ONCE {
        @Override
        public boolean mayRunAgain(boolean resumable) {
            return false;
        }
    },
    /** The answer is a series of events; it runs again only where a run can be resumed. */
    EVENT_STREAM {
        @Override
        public boolean mayRunAgain(boolean resumable) {
            return resumable;
        }
    };

    /**
     * Tells whether a request whose run is uncertain may be sent again.
     *
     * @param resumable true if the route declares that runs can be resumed
     * @return true if a second run does no harm
     */
    public abstract boolean mayRunAgain(boolean resumable);
}
