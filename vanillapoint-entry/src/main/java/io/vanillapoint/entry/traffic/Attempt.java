package io.vanillapoint.entry.traffic;

/** One attempt to send a request to a replica or to a VM of another region. */
public interface Attempt {
    /** Cancels the attempt by closing its connection; the listener is not called afterwards. */
    void cancel();

    /**
     * Tells whether the request may have left this VM.
     *
     * @return false only if no byte of it has been sent, and none will be after a cancellation
     */
    boolean sent();

    /** Pauses reading the response. */
    void pause();

    /** Resumes reading the response. */
    void resume();
}
