package io.vanillapoint.entry.port;

import io.vanillapoint.core.published.StoreChanges;
import io.vanillapoint.core.published.StorePage;
import io.vertx.core.Future;

/**
 * Client of the platform's store. Calls fail with {@link StoreException}. Confined to one event
 * loop.
 */
public interface PublishedSource {
    /** Part of the values that a listing returns. */
    enum Part {
        /** The configuration and the evacuations. */
        ORDERS,
        /** All values. */
        ALL
    }

    /**
     * Reads one page of a listing. Values that can't be read and are large may be replaced by a
     * description of the fault, which can't be read either and names the size.
     *
     * @param part values to list
     * @param after key after which the page starts, empty for the first page
     * @return the page, in the order of the keys
     */
    Future<StorePage> page(Part part, String after);

    /**
     * Waits for changes. The era of the result is {@code NO_ERA} if the store does not tell it and
     * {@code INVALID_ERA} if it can't be read.
     *
     * @param after revision after which changes are wanted
     * @param waitMillis longest time that the store may wait for a change, in milliseconds
     * @return changes after the revision, empty if there were none within the wait
     */
    Future<StoreChanges> watch(long after, long waitMillis);

    /** Cancels the pending watch, if there is one; its future fails. */
    void cancelWatch();
}
