package io.vanillapoint.core.attempt;

/** How an attempt ended without an answer that goes to the caller. Immutable. */
public enum AttemptEnd {
    /** No connection was made, so nothing was sent. */
    NOT_SENT(false, true),
    /** A VM of another region had no replica for it. */
    NOT_PLACED(false, false),
    /** The replica said that it did not run the request. */
    REJECTED(false, false),
    /** The connection failed or was silent after the request was sent. */
    LOST(true, true),
    /** What came back was no answer to this request. */
    GARBLED(true, false),
    /** The replica ran the request and failed. */
    FAILED(true, false);

    private final boolean mayHaveRun;
    private final boolean unreachable;

    AttemptEnd(boolean mayHaveRun, boolean unreachable) {
        this.mayHaveRun = mayHaveRun;
        this.unreachable = unreachable;
    }

    /**
     * Tells whether the request may have run.
     *
     * @return false only if it certainly has not
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Tells whether the replica may be down.
     *
     * @return true if requests should avoid it for a while
     */
    public boolean unreachable() {
        return unreachable;
    }
}
