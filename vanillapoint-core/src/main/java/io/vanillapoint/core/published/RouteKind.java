package io.vanillapoint.core.published;

/** Whether requests of a route may be repeated. Immutable. */
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
    /** The response is an event stream; a request runs again only if its run can be resumed. */
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
     * @return true if a second run is safe
     */
    public abstract boolean mayRunAgain(boolean resumable);
}
