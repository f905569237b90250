package io.vanillapoint.entry.port;

import io.vanillapoint.core.published.StoredItem;
import java.util.List;

/**
 * All values of the platform's store. Immutable.
 *
 * @param startRevision revision at the first page; later changes may or may not be contained
 * @param items values, one a key
 */
public record StoreListing(long startRevision, List<StoredItem> items) {
    /** Copies the items. */
    public StoreListing {
        items = List.copyOf(items);
    }
}
