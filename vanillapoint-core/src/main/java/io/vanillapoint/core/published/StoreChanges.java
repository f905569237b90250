package io.vanillapoint.core.published;

import java.util.List;

/**
 * Changes of the store up to a revision. Immutable.
 *
 * @param revision every change up to this revision has been seen by the sender
 * @param complete true if the items are all keys that exist at that revision, so that any other key
 *     was removed
 * @param items newest state of each key that changed, or all keys that exist
 */
public record StoreChanges(long revision, boolean complete, List<StoredItem> items) {
    /** Copies the items. */
    public StoreChanges {
        items = List.copyOf(items);
    }

    /**
     * Changes since some revision, removals included.
     *
     * @param revision every change up to this revision has been seen by the sender
     * @param items newest state of each key that changed
     * @return the changes
     */
    public static StoreChanges changes(long revision, List<StoredItem> items) {
        return new StoreChanges(revision, false, items);
    }
}
