package io.vanillapoint.core.attempt;

/**
 * Counts the attempts of one request.
 *
 * <p>Invariant: {@link #mayHaveRun()} never goes back to false. Confined to one thread.
 */
public final class AttemptHistory {
    private int sendCount;
    private int unsentCount;
    private int outcomeCount;
    private boolean mayHaveRun;

    /**
     * Records the outcome of an attempt.
     *
     * @param outcome outcome of the attempt
     */
    public void recordOutcome(AttemptOutcome outcome) {
        outcomeCount++;
        if (!outcome.mayHaveReached()) {
            unsentCount++;
        }
        mayHaveRun |= outcome.mayHaveRun();
    }

    /** Records that the request is about to be sent to a replica. */
    public void recordSend() {
        sendCount++;
    }

    /**
     * Tells whether an attempt has no outcome yet.
     *
     * @return true if one is still open, or ended with a response
     */
    public boolean hasOpen() {
        return sendCount > outcomeCount;
    }

    /**
     * Number of attempts that reached a replica or may have.
     *
     * @return zero or more
     */
    public int sent() {
        return sendCount - unsentCount;
    }

    /**
     * Number of attempts that ended before the request reached a replica.
     *
     * @return zero or more
     */
    public int unsent() {
        return unsentCount;
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
