package io.vanillapoint.entry.traffic;

/**
 * Memory budget for responses that are buffered until they are complete.
 *
 * <p>Handles faulty replicas that send endless bodies to several requests at once: a response that
 * exceeds its limit, or the budget, is abandoned before the process runs out of memory. Invariant:
 * the bytes held never exceed {@link #MOST_BYTES}. Confined to one event loop.
 */
public final class AnswerMemory {
    /** Largest buffered response, in bytes; operators' services send a few kilobytes. */
    static final long MOST_BYTES_OF_ONE = 4L * 1_024 * 1_024;

    /** All buffered responses together, in bytes: a fifth of the heap of the smallest VM. */
    static final long MOST_BYTES = 32L * 1_024 * 1_024;

    private long held;

    /**
     * Reserves memory for a part of a response.
     *
     * @param before bytes of the response that are already held
     * @param bytes bytes of the part
     * @return false if a limit would be exceeded; nothing is reserved then
     */
    boolean take(long before, long bytes) {
        if (before + bytes > MOST_BYTES_OF_ONE || held + bytes > MOST_BYTES) {
            return false;
        }
        held += bytes;
        return true;
    }

    /** Releases the bytes of a response. */
    void giveBack(long bytes) {
        held -= bytes;
    }

    /**
     * Memory held now.
     *
     * @return bytes
     */
    public long held() {
        return held;
    }
}
