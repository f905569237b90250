package io.vanillapoint.entry.traffic;

/** One sending of a request to a replica or to a VM of another region. */
public interface Attempt {
    /** Stops it: the other side is told by the end of the connection. Nothing is heard after. */
    void cancel();

    /** Stops reading the answer for now. */
    void pause();

    /** Goes on reading the answer. */
    void resume();
}
