package io.vanillapoint.core.published;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Collects the pages of one listing.
 *
 * <p>Invariants: all pages are of one era, no page is requested twice after it was added, and the
 * position of the listing is that of its first page, since values may change while later pages are
 * read. Confined to one thread.
 */
public final class StoreListing {
    private final Set<String> starts = new HashSet<>();
    private final List<StoredItem> items = new ArrayList<>();
    private Optional<StorePosition> position = Optional.empty();
    private String after = "";
    private boolean complete;
    private long bytes;

    /**
     * Key after which the next page starts.
     *
     * @return the key, empty for the first page
     */
    public String after() {
        return after;
    }

    /**
     * Tells whether the last page has been added.
     *
     * @return true if no page follows
     */
    public boolean complete() {
        return complete;
    }

    /**
     * Adds the next page.
     *
     * @param page the page after {@link #after()}
     * @return why the listing has to start again, empty if the page was added
     */
    public Optional<String> add(StorePage page) {
        StorePosition start = position.orElse(page.position());
        if (page.position().era() != start.era()) {
            return Optional.of(
                    "pages of a listing are of eras "
                            + start.era()
                            + " and "
                            + page.position().era());
        }
        if (!starts.add(after)) {
            return Optional.of("pages of a listing repeat after key '" + after + "'");
        }
        position = Optional.of(start);
        items.addAll(page.items());
        page.items().forEach(item -> bytes += CopyLimits.bytes(item));
        complete = !page.hasMore() || page.items().isEmpty();
        if (!complete) {
            after = page.items().get(page.items().size() - 1).key();
        }
        return Optional.empty();
    }

    /**
     * Drops items if the pages so far are beyond the limits of a copy, which has no room for them.
     *
     * @param limits the limits
     * @param importance importance of an item
     */
    public void trim(CopyLimits limits, Function<StoredItem, Importance> importance) {
        if (limits.exceeded(items.size(), bytes)) {
            Set<StoredItem> dropped = Collections.newSetFromMap(new IdentityHashMap<>());
            dropped.addAll(limits.excess(items, importance));
            items.removeIf(dropped::contains);
            dropped.forEach(item -> bytes -= CopyLimits.bytes(item));
        }
    }

    /**
     * All values of a complete listing.
     *
     * @return the values with the position at which the listing started
     * @throws IllegalStateException if pages are missing
     */
    public StoreChanges changes() {
        if (!complete) {
            throw new IllegalStateException("listing is incomplete after key '" + after + "'");
        }
        return new StoreChanges(position.orElse(StorePosition.START), true, items);
    }
}
