package io.vanillapoint.entry.traffic;

import io.vertx.core.Future;

/**
 * Memory budget for responses that are buffered until they are complete.
 *
 * <p>Handles faulty replicas that send endless bodies to several requests at once: a response that
 * exceeds its limit, or the budget, is abandoned before the process runs out of memory. Each byte
 * is charged twice, because a buffer that grows doubles its capacity. Together with {@link
 * io.vanillapoint.core.memory.BodyMemoryBudget} it takes at most 23/40 of the heap. Invariant: the
 * bytes charged never exceed the limit. Confined to one event loop.
 */
public final class ResponseMemoryBudget {
    /** Largest buffered response, in bytes; operators' services send a few kilobytes. */
    static final long MAX_RESPONSE_BYTES = 4L * 1_024 * 1_024;

    /** Largest limit, in bytes: a fifth of the heap of the smallest VM. */
    private static final long MAX_TOTAL_BYTES = 32L * 1_024 * 1_024;

    /** Smaller writes are bounded by the write queue of their connection, 64 KiB. */
    private static final long LARGE_WRITE_BYTES = 64L * 1_024;

    private static final long HEAP_PART = 5;
    private static final long GROWTH_FACTOR = 2;

    private final long limitBytes;
    private long heldBytes;

    /** Creates an unused budget with the largest limit. */
    public ResponseMemoryBudget() {
        this(Long.MAX_VALUE);
    }

    /**
     * Creates an unused budget.
     *
     * @param maxHeapBytes maximum heap size of the process, in bytes
     */
    public ResponseMemoryBudget(long maxHeapBytes) {
        limitBytes = Math.min(MAX_TOTAL_BYTES, maxHeapBytes / HEAP_PART);
    }

    /**
     * Reserves memory for a part of a response.
     *
     * @param heldByResponse bytes of the response that are already held
     * @param bytes bytes of the part
     * @return false if a limit would be exceeded; nothing is reserved then
     */
    boolean tryReserve(long heldByResponse, long bytes) {
        long charge = GROWTH_FACTOR * bytes;
        if (heldByResponse + bytes > MAX_RESPONSE_BYTES || heldBytes + charge > limitBytes) {
            return false;
        }
        heldBytes += charge;
        return true;
    }

    /**
     * Charges bytes that have been written and are not yet sent, whatever is charged already, so
     * that further responses are not buffered while slow callers take all memory.
     *
     * @param bytes number of bytes
     * @param sent completed when they are sent, or their connection is closed
     */
    void holdUntil(long bytes, Future<Void> sent) {
        if (bytes >= LARGE_WRITE_BYTES && !sent.isComplete()) {
            heldBytes += bytes;
            sent.onComplete(ignored -> heldBytes -= bytes);
        }
    }

    /** Releases the bytes of a response. */
    void release(long bytes) {
        heldBytes -= GROWTH_FACTOR * bytes;
    }

    /**
     * Memory charged now.
     *
     * @return bytes
     */
    public long heldBytes() {
        return heldBytes;
    }
}
