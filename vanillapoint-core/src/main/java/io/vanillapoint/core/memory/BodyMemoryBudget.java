package io.vanillapoint.core.memory;

import java.util.HashMap;
import java.util.Map;

/**
 * Limit on the memory for the bodies of all requests that a VM holds at a time, received from
 * callers or relayed by other VMs.
 *
 * <p>Handles many large bodies at once, each within the limit for a single body: a body is reserved
 * before it is read, and one that does not fit is not read. Bodies of up to {@link
 * #SMALL_BODY_BYTES} have a reserve of their own, and use the rest of the limit once that is full.
 * In either part an owner, usually a customer, may hold at most {@value #FREE_FACTOR} times what
 * its reservation leaves free: one that is alone gets {@value #FREE_FACTOR} ninths, and finds
 * nothing more as soon as others fill the rest.
 *
 * <p>Invariants: the bytes held never exceed the limit; each reservation is released once, however
 * often {@link Reservation#release} is called. An operation takes constant time. Confined to one
 * thread.
 */
public final class BodyMemoryBudget {
    /** Largest body, in bytes, that may use the reserve for small ones. */
    public static final long SMALL_BODY_BYTES = 64L * 1_024;

    /**
     * The limit is 3/8 of the heap. Buffered responses take 1/5, heads of requests 1/8, and the
     * rest (48 MB of 160 MB) is for the VM's state and for the copies of one body while it is
     * relayed: five, each of at most the limit for a body.
     */
    private static final long HEAP_NUMERATOR = 3;

    private static final long HEAP_DENOMINATOR = 8;

    /** Part of the limit that only small bodies use. */
    private static final long SMALL_PART = 8;

    /** Leaves 5.8 MB for others on a heap of 160 MB, more than the usual limit for a body. */
    private static final long FREE_FACTOR = 8;

    private final Pool small;
    private final Pool general;

    /**
     * Creates an unused budget.
     *
     * @param maxHeapBytes maximum heap size of the process, in bytes
     */
    public BodyMemoryBudget(long maxHeapBytes) {
        long limit = maxHeapBytes / HEAP_DENOMINATOR * HEAP_NUMERATOR;
        small = new Pool(limit / SMALL_PART);
        general = new Pool(limit - limit / SMALL_PART);
    }

    /**
     * Opens a reservation of 0 bytes.
     *
     * @param owner who the bytes are charged to
     * @return the reservation
     */
    public Reservation open(String owner) {
        return new Reservation(owner);
    }

    /**
     * Memory that is reserved now.
     *
     * @return bytes
     */
    public long heldBytes() {
        return small.held + general.held;
    }

    /**
     * Largest memory that can be reserved.
     *
     * @return bytes
     */
    public long limitBytes() {
        return small.limit + general.limit;
    }

    /** Memory for the body of one request. Confined to the thread of its budget. */
    public final class Reservation {
        private String owner;
        private Pool pool = general;
        private long bytes;
        private boolean released;

        private Reservation(String owner) {
            this.owner = owner;
        }

        /**
         * Changes the size of the reservation.
         *
         * @param newBytes bytes to be held in total
         * @return false if they don't fit or the reservation was released; nothing is changed then
         */
        public boolean tryResize(long newBytes) {
            if (released) {
                return false;
            }
            pool.remove(owner, bytes);
            Pool target =
                    newBytes <= SMALL_BODY_BYTES && small.fits(owner, newBytes) ? small : general;
            boolean fits = target.fits(owner, newBytes);
            if (fits) {
                pool = target;
                bytes = newBytes;
            }
            pool.add(owner, bytes);
            return fits;
        }

        /**
         * Charges the bytes to another owner, whatever that one holds already.
         *
         * @param newOwner who they are charged to from now on
         */
        public void chargeTo(String newOwner) {
            pool.remove(owner, bytes);
            owner = newOwner;
            pool.add(owner, bytes);
        }

        /** Releases the bytes. Further calls have no effect. */
        public void release() {
            pool.remove(owner, bytes);
            bytes = 0;
            released = true;
        }
    }

    /** One part of the limit. */
    private static final class Pool {
        private final long limit;
        private final Map<String, Long> heldByOwner = new HashMap<>();
        private long held;

        Pool(long limit) {
            this.limit = limit;
        }

        boolean fits(String owner, long bytes) {
            long freeAfter = limit - held - bytes;
            long owned = heldByOwner.getOrDefault(owner, 0L) + bytes;
            return bytes == 0 || freeAfter >= 0 && owned <= FREE_FACTOR * freeAfter;
        }

        void add(String owner, long bytes) {
            if (bytes > 0) {
                held += bytes;
                heldByOwner.merge(owner, bytes, Long::sum);
            }
        }

        void remove(String owner, long bytes) {
            if (bytes > 0) {
                held -= bytes;
                heldByOwner.computeIfPresent(
                        owner, (name, sum) -> sum > bytes ? Long.valueOf(sum - bytes) : null);
            }
        }
    }
}
