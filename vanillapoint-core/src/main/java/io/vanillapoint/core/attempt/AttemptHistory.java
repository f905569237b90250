package io.vanillapoint.core.attempt;

/**
 * Counts the attempts of one request.
 *
 * <p>Invariant: {@link #mayHaveRun()} never goes back to false. Confined to one thread.
 */
public final class AttemptHistory {
    private int sends;
    private int unsent;
    private boolean mayHaveRun;

    /**
     * Records the outcome of an attempt.
     *
     * @param end outcome
     */
    public void ended(AttemptEnd end) {
        if (!end.reached()) {
            unsent++;
        }
        mayHaveRun |= end.mayHaveRun();
    }

    /** Records that the request is about to be sent to a replica. */
    public void sending() {
        sends++;
    }

    /**
     * Number of attempts that reached a replica or may have.
     *
     * @return zero or more
     */
    public int sent() {
        return sends - unsent;
    }

    /**
     * Number of attempts that ended before the request reached a replica.
     *
     * @return zero or more
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
