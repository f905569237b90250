package io.vanillapoint.entry.port;

import io.vanillapoint.core.published.StoredItem;
import java.util.List;

/**
 * All values of the platform's store. Immutable.
 *
 * @param startRevision revision at the first page; changes after it may or may not be included
 * @param items values, one per key
 */
public record StoreListing(long startRevision, List<StoredItem> items) {
    /** Copies the items. */
    public StoreListing {
        items = List.copyOf(items);
    }
}
