package io.vanillapoint.entry.port;

import io.vanillapoint.core.published.StoredDelta;
import io.vertx.core.Future;

/** Reads the platform's store. Failures are {@link StoreException}s. Confined to one event loop. */
public interface PublishedSource {
    /**
     * Reads everything.
     *
     * @return all values
     */
    Future<StoreListing> list();

    /**
     * Waits for changes.
     *
     * @param after revision up to which all changes are known
     * @param waitMillis how long the store may wait for a change
     * @return changes since, empty if there were none in time
     */
    Future<StoredDelta> watch(long after, long waitMillis);

    /** Ends the watch that is waiting, if there is one; its future fails. */
    void cancelWatch();
}
