package io.vanillapoint.core.published;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Local copy of the platform's store, updated from reads, watches and other VMs in any order.
 *
 * <p>Invariants: the revision of a key never decreases, and a removal is kept as a tombstone so
 * that an older value from another VM can't restore the key. A table that started after a removal
 * has no tombstone for it, so a query for changes since an earlier revision returns all keys
 * instead. Confined to one thread.
 */
public final class PublishedTable {
    private final Map<String, StoredItem> items = new HashMap<>();
    private long revision;

    /** Removals after this revision have a tombstone; older ones may have none. */
    private long removalsTrackedAfter;

    /**
     * Revision up to which every change is included.
     *
     * @return revision, 0 if nothing is known
     */
    public long revision() {
        return revision;
    }

    /**
     * Applies changes.
     *
     * @param changes changes from a watch or from another VM
     * @return the items that were newer than those in the table
     */
    public List<StoredItem> merge(StoreChanges changes) {
        if (changes.complete()) {
            return replace(changes.items(), changes.revision());
        }
        List<StoredItem> changed = new ArrayList<>();
        for (StoredItem item : changes.items()) {
            if (putIfNewer(item)) {
                changed.add(item);
            }
        }
        revision = Math.max(revision, changes.revision());
        return changed;
    }

    /**
     * Applies a complete listing. A key that is missing from it was removed, unless it was written
     * after the listing began.
     *
     * @param listed all keys of the listing
     * @param startRevision revision at the first page
     * @return the items that changed, removals included
     */
    public List<StoredItem> replace(List<StoredItem> listed, long startRevision) {
        Set<String> present = new HashSet<>();
        listed.forEach(item -> present.add(item.key()));
        List<StoredItem> changes = new ArrayList<>(listed);
        for (StoredItem existing : items.values()) {
            boolean missing = !present.contains(existing.key());
            if (missing && !existing.removed() && existing.revision() <= startRevision) {
                changes.add(new StoredItem(existing.key(), startRevision, true, new byte[0]));
            }
        }
        if (startRevision > revision) {
            removalsTrackedAfter = startRevision;
        }
        return merge(StoreChanges.changes(startRevision, changes));
    }

    /**
     * Changes since a revision, for a VM whose copy is older.
     *
     * @param newerThan revision that the other VM has
     * @return newest state of each key that changed since, or all keys if some removals since may
     *     be unknown here
     */
    public StoreChanges since(long newerThan) {
        boolean complete = newerThan < removalsTrackedAfter;
        List<StoredItem> selected = new ArrayList<>();
        for (StoredItem item : items.values()) {
            if (complete ? !item.removed() : item.revision() > newerThan) {
                selected.add(item);
            }
        }
        return new StoreChanges(revision, complete, selected);
    }

    private boolean putIfNewer(StoredItem item) {
        StoredItem existing = items.get(item.key());
        if (existing != null && existing.revision() >= item.revision()) {
            boolean removedByItem = item.removed() && !existing.removed();
            if (!removedByItem || existing.revision() > item.revision()) {
                return false;
            }
        }
        items.put(item.key(), item);
        return true;
    }
}
