package io.vanillapoint.entry.traffic;

/** One attempt to send a request to a replica or to a VM of another region. */
public interface Attempt {
    /** Cancels the attempt by closing its connection; the listener is not called afterwards. */
    void cancel();

    /** Pauses reading the response. */
    void pause();

    /** Resumes reading the response. */
    void resume();
}
