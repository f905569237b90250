package io.vanillapoint.core.published;

import java.util.List;
import java.util.Objects;

/**
 * Changes of the store up to a position. Immutable.
 *
 * @param position every change up to this position has been seen by the sender
 * @param complete true if the items are all keys that exist at that position, so that any other key
 *     was removed
 * @param items newest state of each key that changed, or all keys that exist
 */
public record StoreChanges(StorePosition position, boolean complete, List<StoredItem> items) {
    /** Copies the items. */
    public StoreChanges {
        Objects.requireNonNull(position, "position");
        items = List.copyOf(items);
    }

    /**
     * Changes since some position, removals included.
     *
     * @param position every change up to this position has been seen by the sender
     * @param items newest state of each key that changed
     * @return the changes
     */
    public static StoreChanges changes(StorePosition position, List<StoredItem> items) {
        return new StoreChanges(position, false, items);
    }

    /**
     * Copies the changes with another era.
     *
     * @param era the era
     * @return a copy
     */
    public StoreChanges withEra(long era) {
        return new StoreChanges(new StorePosition(era, position.revision()), complete, items);
    }
}
