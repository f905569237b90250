package io.vanillapoint.core.published;

import java.util.function.DoubleSupplier;

/**
 * Decides which call a reader of the store makes next, and after which pause.
 *
 * <p>Invariants: a call that failed is repeated only after a pause; a watch whose answer can't be
 * used is followed by a listing, of which the orders (configuration and evacuations) are read
 * before the other values unless they are deferred, and again at least every {@link
 * #ORDERS_INTERVAL_MILLIS} while pages are answered. A failed page of one listing never delays the
 * other one by more than one pause. Pauses grow up to a limit and are drawn at random, so that VMs
 * that lost the store together do not return together. The load is at most one call at a time, and
 * after a failure one listing with a pause between listings.
 *
 * <p>Time is monotonic, in milliseconds. Confined to one thread.
 */
public final class StoreReadPlan {
    /** A call to the store. */
    public enum Call {
        /** One page of the configuration and evacuations. */
        LIST_ORDERS,
        /** One page of all values. */
        LIST_ALL,
        /** Changes since the last known revision. */
        WATCH
    }

    /** Interval at which orders are read while a listing takes long. */
    public static final long ORDERS_INTERVAL_MILLIS = 1_000;

    /** No pause before the next call. */
    public static final long NO_PAUSE = 0;

    private static final long INITIAL_BACKOFF_MILLIS = 200;
    private static final long MAX_BACKOFF_MILLIS = 1_000;

    private final DoubleSupplier random;
    private boolean populated;

    /** True if a listing follows a failure, so that orders may be overdue. */
    private boolean recovering;

    private long ordersDueAtMillis;
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;

    /** Pause before the next listing if no watch succeeds between listings. */
    private long relistMillis = INITIAL_BACKOFF_MILLIS;

    /**
     * Creates a plan that begins with a listing of all values.
     *
     * @param random numbers from 0 to below 1
     */
    public StoreReadPlan(DoubleSupplier random) {
        this.random = random;
    }

    /**
     * The next call.
     *
     * @param nowMillis time
     * @return the call to make
     */
    public Call next(long nowMillis) {
        if (populated) {
            return Call.WATCH;
        }
        boolean ordersDue = recovering && nowMillis >= ordersDueAtMillis;
        return ordersDue ? Call.LIST_ORDERS : Call.LIST_ALL;
    }

    /**
     * Tells whether all values have been read once and none was lost since.
     *
     * @return true if changes since the known position complete the state
     */
    public boolean populated() {
        return populated;
    }

    /** The store answered a call, and the answer was used. */
    public void answered() {
        backoffMillis = INITIAL_BACKOFF_MILLIS;
    }

    /** A watch was answered, so that the next failure is a new one. */
    public void watchAnswered() {
        answered();
        relistMillis = INITIAL_BACKOFF_MILLIS;
    }

    /**
     * The listing of the orders is complete.
     *
     * @param nowMillis time
     */
    public void ordersListed(long nowMillis) {
        ordersDueAtMillis = nowMillis + ORDERS_INTERVAL_MILLIS;
    }

    /**
     * Begins with all values, since their listing is probably short: a listing of one page needs no
     * call for the orders.
     *
     * @param listingAtMillis time at which the listing begins
     */
    public void deferOrders(long listingAtMillis) {
        ordersDueAtMillis = listingAtMillis + ORDERS_INTERVAL_MILLIS;
    }

    /** All values are known, from a listing or from another VM. */
    public void allListed() {
        populated = true;
        recovering = false;
    }

    /** The store is in a later era, which is read from a listing of all values. */
    public void eraChanged() {
        populated = false;
        recovering = false;
    }

    /**
     * Changes may be missing, so a listing is needed, the orders first.
     *
     * @param nowMillis time
     */
    public void listingNeeded(long nowMillis) {
        if (populated || !recovering) {
            ordersDueAtMillis = nowMillis;
        }
        populated = false;
        recovering = true;
    }

    /**
     * A call failed.
     *
     * @param call the call
     * @param relist true if a watch from the same revision would fail again
     * @param nowMillis time
     * @return pause before the next call in milliseconds
     */
    public long failed(Call call, boolean relist, long nowMillis) {
        switch (call) {
            case WATCH -> {
                if (relist) {
                    listingNeeded(nowMillis);
                    backoffMillis = Math.max(backoffMillis, relistMillis);
                    relistMillis = Math.min(MAX_BACKOFF_MILLIS, relistMillis * 2);
                }
            }
            case LIST_ORDERS -> ordersDueAtMillis = nowMillis + ORDERS_INTERVAL_MILLIS;
            case LIST_ALL -> ordersDueAtMillis = nowMillis;
            default -> throw new IllegalArgumentException("call " + call);
        }
        long pauseMillis = (long) (backoffMillis * (0.5 + random.getAsDouble()));
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
        return pauseMillis;
    }
}
