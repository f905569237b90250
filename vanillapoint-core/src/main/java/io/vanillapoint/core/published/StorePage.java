package io.vanillapoint.core.published;

import java.util.List;
import java.util.Objects;

/**
 * One page of a listing of the store. Immutable.
 *
 * @param position position of the store when it produced the page
 * @param items values of the page in the order of their keys
 * @param hasMore true if values follow after the last one of this page
 */
public record StorePage(StorePosition position, List<StoredItem> items, boolean hasMore) {
    /** Copies the items. */
    public StorePage {
        Objects.requireNonNull(position, "position");
        items = List.copyOf(items);
    }

    /**
     * Copies the page with another era.
     *
     * @param era the era
     * @return a copy
     */
    public StorePage withEra(long era) {
        return new StorePage(new StorePosition(era, position.revision()), items, hasMore);
    }
}
