package io.vanillapoint.core.published;

import java.util.List;

/**
 * Changes of the store up to a revision. Immutable.
 *
 * @param revision every change up to this revision has been seen by the sender
 * @param items newest state of each key that changed
 */
public record StoredDelta(long revision, List<StoredItem> items) {
    /** Copies the items. */
    public StoredDelta {
        items = List.copyOf(items);
    }
}
