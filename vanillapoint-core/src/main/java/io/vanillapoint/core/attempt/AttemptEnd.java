package io.vanillapoint.core.attempt;

/** How an attempt ended without an answer that goes to the caller. Immutable. */
public enum AttemptEnd {
    /** No connection was made, so nothing was sent. */
    NOT_SENT(false, false, true),
    /** This VM kept the request back, since its replica may no longer be sent to. */
    WITHHELD(false, false, false),
    /** A VM of another region had no replica for it. */
    NOT_PLACED(false, false, false),
    /** The replica said that it did not run the request. */
    REJECTED(true, false, false),
    /** The connection failed or was silent after the request was sent. */
    LOST(true, true, true),
    /** What came back was no answer to this request. */
    GARBLED(true, true, false),
    /** The replica ran the request and failed. */
    FAILED(true, true, false);

    private final boolean reached;
    private final boolean mayHaveRun;
    private final boolean unreachable;

    AttemptEnd(boolean reached, boolean mayHaveRun, boolean unreachable) {
        this.reached = reached;
        this.mayHaveRun = mayHaveRun;
        this.unreachable = unreachable;
    }

    /**
     * Tells whether a replica may have got the request.
     *
     * @return false only if it certainly has not
     */
    public boolean reached() {
        return reached;
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
