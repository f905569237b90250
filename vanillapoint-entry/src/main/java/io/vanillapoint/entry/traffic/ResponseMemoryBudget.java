package io.vanillapoint.entry.traffic;

/**
 * Memory budget for responses that are buffered until they are complete.
 *
 * <p>Handles faulty replicas that send endless bodies to several requests at once: a response that
 * exceeds its limit, or the budget, is abandoned before the process runs out of memory. Invariant:
 * the bytes held never exceed {@link #MAX_TOTAL_BYTES}. Confined to one event loop.
 */
public final class ResponseMemoryBudget {
    /** Largest buffered response, in bytes; operators' services send a few kilobytes. */
    static final long MAX_RESPONSE_BYTES = 4L * 1_024 * 1_024;

    /** All buffered responses together, in bytes: a fifth of the heap of the smallest VM. */
    static final long MAX_TOTAL_BYTES = 32L * 1_024 * 1_024;

    private long heldBytes;

    /**
     * Reserves memory for a part of a response.
     *
     * @param heldByResponse bytes of the response that are already held
     * @param bytes bytes of the part
     * @return false if a limit would be exceeded; nothing is reserved then
     */
    boolean tryReserve(long heldByResponse, long bytes) {
        if (heldByResponse + bytes > MAX_RESPONSE_BYTES || heldBytes + bytes > MAX_TOTAL_BYTES) {
            return false;
        }
        heldBytes += bytes;
        return true;
    }

    /** Releases the bytes of a response. */
    void release(long bytes) {
        heldBytes -= bytes;
    }

    /**
     * Memory held now.
     *
     * @return bytes
     */
    public long heldBytes() {
        return heldBytes;
    }
}
