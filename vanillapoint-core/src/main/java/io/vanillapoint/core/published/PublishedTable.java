package io.vanillapoint.core.published;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Local copy of the platform's store, updated from reads, watches and other VMs in any order.
 *
 * <p>Invariants: within an era the revision of a key never decreases, and a removal is kept as a
 * tombstone so that an older value from another VM can't restore the key. A later era is adopted
 * only as a whole, and nothing of an earlier era changes the table after that. A table that started
 * after a removal has no tombstone for it, so a query for changes since an earlier revision returns
 * all keys instead. {@link #trim} keeps the table within its limits; a key whose tombstone it has
 * dropped comes back only with a later change or a listing. Confined to one thread.
 */
public final class PublishedTable {
    private final CopyLimits limits;
    private Map<String, StoredItem> items = new HashMap<>();
    private long bytes;
    private StorePosition position = StorePosition.START;

    /** Removals after this revision have a tombstone; older ones may have none. */
    private long removalsTrackedAfter;

    /** Revision of the newest tombstone that was dropped. */
    private long droppedRemoval;

    private boolean liveItemsDropped;

    /**
     * Creates an empty table.
     *
     * @param limits limits that {@link #trim} applies
     */
    public PublishedTable(CopyLimits limits) {
        this.limits = limits;
    }

    /**
     * Number of items.
     *
     * @return number, removed keys included
     */
    public int size() {
        return items.size();
    }

    /**
     * Size of the items in memory.
     *
     * @return estimate in bytes
     */
    public long bytes() {
        return bytes;
    }

    /**
     * Tells whether entries that nothing used may be missing, because this VM or the one that it
     * copied from has dropped them.
     *
     * @return true if only a listing tells all entries
     */
    public boolean mayLackUnusedItems() {
        return liveItemsDropped || limits.crowded(items.size(), bytes);
    }

    /**
     * Position up to which every change is included.
     *
     * @return position, {@link StorePosition#START} if nothing is known
     */
    public StorePosition position() {
        return position;
    }

    /**
     * Finds the state of a key, removed ones included.
     *
     * @param key the key
     * @return its newest state, or null if it is not known
     */
    public StoredItem find(String key) {
        return items.get(key);
    }

    /**
     * State of all keys, removed ones included.
     *
     * @return copy
     */
    public List<StoredItem> items() {
        return List.copyOf(items.values());
    }

    /**
     * Tells whether changes belong to a later era than the table.
     *
     * @param changes changes from the store or from another VM
     * @return true if only a complete listing of that era can be applied
     */
    public boolean precedesEraOf(StoreChanges changes) {
        return changes.position().era() > position.era();
    }

    /**
     * Applies changes. Changes of an earlier era are ignored, and those of a later era too unless
     * they are complete.
     *
     * @param changes changes from the store or from another VM
     * @return the items that were newer than those in the table, removals included
     */
    public List<StoredItem> merge(StoreChanges changes) {
        if (precedesEraOf(changes)) {
            return changes.complete() ? adopt(changes) : List.of();
        }
        if (changes.position().era() < position.era()) {
            return List.of();
        }
        return changes.complete() ? replace(changes) : apply(changes, false);
    }

    /**
     * Applies a complete listing of a part of the keys. The position stays, since changes to other
     * keys may be missing. A listing of another era is ignored.
     *
     * @param listing all keys of the part that exist
     * @param part tells whether a key belongs to the part
     * @return the items that were newer than those in the table, removals included
     */
    public List<StoredItem> mergePart(StoreChanges listing, Predicate<String> part) {
        if (listing.position().era() != position.era()) {
            return List.of();
        }
        List<StoredItem> changes = new ArrayList<>(listing.items());
        addRemovals(listing, part, changes);
        return apply(StoreChanges.changes(position, changes), true);
    }

    /**
     * Changes since a position, for a VM whose copy is older.
     *
     * @param newerThan position that the other VM has
     * @return newest state of each key that changed since, or all keys if some removals since may
     *     be unknown here or the other VM is in another era
     */
    public StoreChanges since(StorePosition newerThan) {
        boolean complete =
                newerThan.era() != position.era() || newerThan.revision() < removalsTrackedAfter;
        List<StoredItem> selected = new ArrayList<>();
        for (StoredItem item : items.values()) {
            if (complete ? !item.removed() : item.revision() > newerThan.revision()) {
                selected.add(item);
            }
        }
        return new StoreChanges(position, complete, selected);
    }

    /**
     * Tells whether the table has to be trimmed.
     *
     * @return true if it is beyond its limits
     */
    public boolean exceedsLimits() {
        return limits.exceeded(items.size(), bytes);
    }

    /**
     * Drops items if the table is beyond its limits.
     *
     * @param importance importance of an item that is not removed
     * @return the items that were dropped
     */
    public List<StoredItem> trim(Function<StoredItem, Importance> importance) {
        List<StoredItem> dropped = limits.excess(items.values(), importance);
        for (StoredItem item : dropped) {
            items.remove(item.key());
            bytes -= CopyLimits.bytes(item);
            if (item.removed()) {
                droppedRemoval = Math.max(droppedRemoval, item.revision());
            } else {
                liveItemsDropped = true;
            }
        }
        removalsTrackedAfter = Math.max(removalsTrackedAfter, droppedRemoval);
        return dropped;
    }

    private List<StoredItem> apply(StoreChanges changes, boolean current) {
        List<StoredItem> changed = new ArrayList<>();
        for (StoredItem item : changes.items()) {
            if ((current || !mayHaveBeenRemoved(item)) && putIfNewer(item)) {
                changed.add(item);
            }
        }
        if (changes.position().isAfter(position)) {
            position = changes.position();
        }
        return changed;
    }

    /** A change to a key without an item, so old that its removal may be known no more. */
    private boolean mayHaveBeenRemoved(StoredItem item) {
        return item.revision() <= Math.min(droppedRemoval, position.revision())
                && !items.containsKey(item.key());
    }

    /** Applies a listing. A key that it lacks was removed, unless it was written since. */
    private List<StoredItem> replace(StoreChanges listing) {
        long startRevision = listing.position().revision();
        List<StoredItem> changes = new ArrayList<>(listing.items());
        addRemovals(listing, key -> true, changes);
        boolean current = !position.isAfter(listing.position());
        if (listing.position().isAfter(position)) {
            removalsTrackedAfter = startRevision;
        }
        liveItemsDropped &= !current;
        return apply(StoreChanges.changes(listing.position(), changes), current);
    }

    private void addRemovals(
            StoreChanges listing, Predicate<String> part, List<StoredItem> changes) {
        long startRevision = listing.position().revision();
        for (StoredItem existing : missingFrom(listing)) {
            if (existing.revision() <= startRevision && part.test(existing.key())) {
                changes.add(removal(existing, startRevision));
            }
        }
    }

    /** Replaces the content of earlier eras. */
    private List<StoredItem> adopt(StoreChanges listing) {
        List<StoredItem> changed = new ArrayList<>();
        for (StoredItem existing : missingFrom(listing)) {
            changed.add(removal(existing, listing.position().revision()));
        }
        Map<String, StoredItem> adopted = new HashMap<>();
        for (StoredItem item : listing.items()) {
            StoredItem known = items.get(item.key());
            boolean same =
                    known != null && !known.removed() && Arrays.equals(known.value(), item.value());
            adopted.put(item.key(), item);
            if (!same) {
                changed.add(item);
            }
        }
        items = adopted;
        bytes = adopted.values().stream().mapToLong(CopyLimits::bytes).sum();
        droppedRemoval = 0;
        liveItemsDropped = false;
        position = listing.position();
        removalsTrackedAfter = position.revision();
        return changed;
    }

    private List<StoredItem> missingFrom(StoreChanges listing) {
        Set<String> present = new HashSet<>();
        listing.items().forEach(item -> present.add(item.key()));
        return items.values().stream()
                .filter(item -> !item.removed() && !present.contains(item.key()))
                .toList();
    }

    private static StoredItem removal(StoredItem item, long revision) {
        return new StoredItem(item.key(), revision, true, new byte[0]);
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
        bytes += CopyLimits.bytes(item) - (existing == null ? 0 : CopyLimits.bytes(existing));
        return true;
    }
}
