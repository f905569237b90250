package io.vanillapoint.core.published;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * Limits of a copy of the store, which any writer can fill, and the choice of what a copy beyond
 * them drops.
 *
 * <p>Handles limits that any writer exceeds again and again: each choice leaves room, since it
 * looks at all items. Invariant: an essential item is never dropped, and one in use only once no
 * unused ones are left. Immutable.
 *
 * @param maxItems largest number of items, removed keys included
 * @param maxBytes largest size in bytes, as counted by {@link #bytes(StoredItem)}
 */
public record CopyLimits(int maxItems, long maxBytes) {
    /** Ten times the replicas of the largest fleet. */
    private static final int MAX_ITEMS = 16_384;

    private static final int HEAP_DIVISOR = 16;

    /** Objects of an item beside the characters of its key and the bytes of its value. */
    private static final int ITEM_OVERHEAD_BYTES = 200;

    /** Unused items are dropped down to this part of the limits, so that it is rarely necessary. */
    private static final int TRIMMED_PART = 2;

    /** Part of the limits that is free after items were dropped, for the same reason. */
    private static final int FREE_PART = 8;

    /** Part of the limits above which a copy may lack items that another VM has dropped. */
    private static final int CROWDED_PART = 4;

    /**
     * Limits for a process.
     *
     * @param heapBytes largest size of its heap
     * @return the limits
     */
    public static CopyLimits ofHeap(long heapBytes) {
        return new CopyLimits(MAX_ITEMS, heapBytes / HEAP_DIVISOR);
    }

    /**
     * Memory that an item takes.
     *
     * @param item the item
     * @return size in bytes
     */
    static long bytes(StoredItem item) {
        return ITEM_OVERHEAD_BYTES + item.key().length() + item.value().length;
    }

    /** Tells whether a copy is beyond the limits. */
    boolean exceeded(int items, long bytes) {
        return items > maxItems || bytes > maxBytes;
    }

    /** Tells whether a copy is so large that other VMs may have dropped items. */
    boolean crowded(int items, long bytes) {
        return items > maxItems / CROWDED_PART || bytes > maxBytes / CROWDED_PART;
    }

    /**
     * Chooses the items that a copy beyond the limits drops: of the unused ones those that changed
     * first, of those in use the ones that changed last.
     *
     * @param items all items
     * @param importance importance of an item; called for each
     * @return items to drop, empty if the copy is within the limits
     */
    List<StoredItem> excess(
            Collection<StoredItem> items, Function<StoredItem, Importance> importance) {
        Size size = new Size(items);
        if (!exceeded(size.items, size.bytes)) {
            return List.of();
        }
        List<StoredItem> unused = new ArrayList<>();
        List<StoredItem> inUse = new ArrayList<>();
        for (StoredItem item : items) {
            Importance found = item.removed() ? Importance.UNUSED : importance.apply(item);
            if (found != Importance.ESSENTIAL) {
                (found == Importance.UNUSED ? unused : inUse).add(item);
            }
        }
        unused.sort(Comparator.comparingLong(StoredItem::revision));
        inUse.sort(Comparator.comparingLong(StoredItem::revision).reversed());
        List<StoredItem> excess = new ArrayList<>();
        size.reduce(
                unused, new CopyLimits(maxItems / TRIMMED_PART, maxBytes / TRIMMED_PART), excess);
        size.reduce(
                inUse,
                new CopyLimits(maxItems - maxItems / FREE_PART, maxBytes - maxBytes / FREE_PART),
                excess);
        return excess;
    }

    /** Size of the items that are kept. Confined to one thread. */
    private static final class Size {
        private int items;
        private long bytes;

        Size(Collection<StoredItem> kept) {
            items = kept.size();
            kept.forEach(item -> bytes += CopyLimits.bytes(item));
        }

        void reduce(List<StoredItem> candidates, CopyLimits target, List<StoredItem> dropped) {
            for (StoredItem item : candidates) {
                if (!target.exceeded(items, bytes)) {
                    return;
                }
                dropped.add(item);
                items--;
                bytes -= CopyLimits.bytes(item);
            }
        }
    }
}
