package io.vanillapoint.core.attempt;

/**
 * What has been tried for one request so far.
 *
 * <p>Invariant: once a run is possible it stays possible. Confined to one thread.
 */
public final class AttemptHistory {
    private int sends;
    private int unsent;
    private boolean mayHaveRun;

    /**
     * Notes the end of an attempt.
     *
     * @param end how it ended
     */
    public void ended(AttemptEnd end) {
        if (!end.reached()) {
            unsent++;
        }
        mayHaveRun |= end.mayHaveRun();
    }

    /** Notes that a request is about to be sent to a replica. */
    public void sending() {
        sends++;
    }

    /**
     * Attempts that reached a replica or may have.
     *
     * @return number
     */
    public int sent() {
        return sends - unsent;
    }

    /**
     * Attempts that failed before anything was sent.
     *
     * @return number
     */
    public int unsent() {
        return unsent;
    }

    /**
     * Tells whether a replica may have run the request.
     *
     * @return false only if none has
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
