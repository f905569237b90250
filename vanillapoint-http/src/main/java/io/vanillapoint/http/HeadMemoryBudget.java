package io.vanillapoint.http;

/**
 * Limit on the memory for the heads of all requests of one event loop, unfinished or in progress,
 * and for what clients send ahead of their turn.
 *
 * <p>Handles many requests whose heads are within their limit but made of thousands of lines, or of
 * lists of thousands of elements: a quarter of the limit is only for heads of usual size.
 * Invariant: the bytes held never exceed the limit. Confined to one event loop.
 */
final class HeadMemoryBudget {
    /** Largest cost of a head of usual size; about 25 lines. */
    static final long USUAL_BYTES = 8 * 1_024;

    /** Cost of a field line beside its bytes: entries and texts in the tables that hold it. */
    private static final long LINE_BYTES = 256;

    /** Cost of an element of a list beside its bytes: the objects that it is decoded into. */
    private static final long ELEMENT_BYTES = 128;

    /** The bytes of a head stand in its texts and in the copy that is passed on. */
    private static final long COPIES = 2;

    private static final long USUAL_PART = 4;

    private final long limit;
    private long held;

    HeadMemoryBudget(long limit) {
        this.limit = limit;
    }

    /** Memory that a complete head takes, in bytes. */
    static long cost(RequestHead head) {
        return COPIES * head.bytes().length
                + LINE_BYTES * head.lines()
                + ELEMENT_BYTES * head.listElements();
    }

    /**
     * Changes a reservation.
     *
     * @return false if the new one does not fit; nothing is changed then
     */
    boolean tryResize(long bytes, long newBytes) {
        long bound = newBytes <= USUAL_BYTES ? limit : limit - limit / USUAL_PART;
        boolean fits = newBytes <= bytes || held - bytes + newBytes <= bound;
        if (fits) {
            held += newBytes - bytes;
        }
        return fits;
    }

    long heldBytes() {
        return held;
    }

    long limitBytes() {
        return limit;
    }
}
