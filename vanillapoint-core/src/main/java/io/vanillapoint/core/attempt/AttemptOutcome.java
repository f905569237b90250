package io.vanillapoint.core.attempt;

/** Outcome of an attempt that gave no response for the caller. Immutable. */
public enum AttemptOutcome {
    /** The connection could not be opened, so nothing was sent. */
    NOT_SENT(false, false, true),
    /** The request was not sent: its replica may no longer be used, or its time was over. */
    WITHHELD(false, false, false),
    /** Another VM had no replica for the request. */
    NOT_PLACED(false, false, false),
    /** Another VM has a version of the configuration that does not permit the request. */
    NOT_PERMITTED(false, false, false),
    /** Another VM withheld the request, because its prompt crashes engines. */
    QUARANTINED(false, false, false),
    /** The replica reported that it did not run the request. */
    REJECTED(true, false, false),
    /** The connection failed or went silent after the request was sent. */
    LOST(true, true, true),
    /** What the replica sent is not a valid response to this request. */
    GARBLED(true, true, false),
    /** The replica ran the request and failed. */
    FAILED(true, true, false),
    /** Another attempt of the request was answered first. */
    SUPERSEDED(true, true, false);

    private final boolean mayHaveReached;
    private final boolean mayHaveRun;
    private final boolean mayBeDown;

    AttemptOutcome(boolean mayHaveReached, boolean mayHaveRun, boolean mayBeDown) {
        this.mayHaveReached = mayHaveReached;
        this.mayHaveRun = mayHaveRun;
        this.mayBeDown = mayBeDown;
    }

    /**
     * Tells whether the request may have reached a replica.
     *
     * @return false only if it certainly has not
     */
    public boolean mayHaveReached() {
        return mayHaveReached;
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
     * @return true if requests should avoid the replica for a while
     */
    public boolean mayBeDown() {
        return mayBeDown;
    }
}
