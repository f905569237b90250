package io.vanillapoint.core.attempt;

/**
 * Counts the attempts of one request.
 *
 * <p>Invariant: {@link #mayHaveRun()} never goes back to false. Confined to one thread.
 */
public final class AttemptHistory {
    private int sendCount;
    private int unsentCount;
    private boolean mayHaveRun;

    /**
     * Records the outcome of an attempt.
     *
     * @param outcome outcome of the attempt
     */
    public void recordOutcome(AttemptOutcome outcome) {
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
