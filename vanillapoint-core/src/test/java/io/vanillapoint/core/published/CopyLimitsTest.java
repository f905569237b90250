package io.vanillapoint.core.published;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasItems;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Copies of the store beyond their limits. */
class CopyLimitsTest {
    private static final int ITEMS = 2_000;
    private static final CopyLimits LIMITS = new CopyLimits(100, 100_000);

    private final PublishedTable table = new PublishedTable(LIMITS);

    @Test
    void copyWithinTheLimitsDropsNothing() {
        for (int i = 1; i <= 100; i++) {
            merge(i, item("unused/" + i, i));
        }
        assertThat(table.exceedsLimits(), is(false));
        assertThat(table.trim(CopyLimitsTest::importance), is(empty()));
    }

    @Test
    void unusedItemsThatChangedFirstAreDroppedFirst() {
        for (int i = 1; i <= 60; i++) {
            merge(2 * i, item("unused/" + i, 2 * i - 1), item("used/" + i, 2 * i));
        }
        table.trim(CopyLimitsTest::importance);
        assertThat(table.size(), is(lessThanOrEqualTo(100)));
        assertThat(keys(), hasItems("used/1", "used/60"));
        assertThat(keys(), not(hasItem("unused/1")));
    }

    @Test
    void essentialItemsAreNeverDropped() {
        merge(1, item("essential/1", 1));
        for (int i = 2; i <= 200; i++) {
            merge(i, item("used/" + i, i));
        }
        merge(201, item("essential/2", 201));
        table.trim(CopyLimitsTest::importance);
        assertThat(table.size(), is(88));
        assertThat(keys(), hasItems("essential/1", "essential/2", "used/2"));
        assertThat(keys(), not(hasItem("used/200")));
    }

    /** Guards against a copy of which all items are examined for each item that is added. */
    @ParameterizedTest
    @ValueSource(strings = {"used/", "unused/"})
    void itemsBeyondTheLimitCostWhatTheirNumberExplains(String prefix) {
        AtomicInteger examined = new AtomicInteger();
        for (int i = 1; i <= 85; i++) {
            merge(i, item("used/first-" + i, i));
        }
        for (int i = 100; i < 100 + ITEMS; i++) {
            merge(i, item(prefix + i, i));
            if (table.exceedsLimits()) {
                table.trim(
                        item -> {
                            examined.incrementAndGet();
                            return importance(item);
                        });
            }
        }
        assertThat(examined.get(), is(lessThanOrEqualTo(16 * ITEMS)));
    }

    @Test
    void bytesAreBoundedToo() {
        for (int i = 1; i <= 90; i++) {
            StoredItem large = new StoredItem("unused/" + i, i, false, new byte[2_000]);
            merge(i, large);
        }
        table.trim(CopyLimitsTest::importance);
        assertThat(table.bytes(), is(lessThanOrEqualTo(100_000L)));
        assertThat(table.bytes(), is(sizeOf(table)));
    }

    /** Guards against a replica that another VM's older copy brings back. */
    @Test
    void staleCopyDoesNotUndoARemovalThatIsKnownNoMore() {
        merge(1, item("used/gone", 1));
        merge(2, new StoredItem("used/gone", 2, true, new byte[0]));
        for (int i = 3; i <= 200; i++) {
            merge(i, item("used/" + i, i));
        }
        table.trim(CopyLimitsTest::importance);
        assertThat(table.find("used/gone") == null, is(true));
        merge(200, item("used/gone", 1));
        table.merge(listing(150, item("used/gone", 1)));
        assertThat(table.find("used/gone") == null, is(true));
        assertThat("since", table.since(new StorePosition(1, 1)).complete(), is(true));
    }

    @Test
    void listingBringsBackWhatWasDropped() {
        merge(1, item("unused/1", 1));
        for (int i = 2; i <= 200; i++) {
            merge(i, item("used/" + i, i));
        }
        table.trim(CopyLimitsTest::importance);
        assertThat(table.find("unused/1") == null, is(true));
        assertThat(table.mayLackUnusedItems(), is(true));
        table.merge(listing(200, item("unused/1", 1)));
        assertThat(table.find("unused/1").removed(), is(false));
    }

    @Test
    void listingKeepsTheItemsInUse() {
        StoreListing listing = new StoreListing();
        for (int page = 0; page < 50; page++) {
            List<StoredItem> items = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                items.add(item("page-" + page + "-unused/" + i, 1 + i));
            }
            items.add(item("used/" + page, 1));
            listing.add(new StorePage(new StorePosition(1, 100), items, page < 49));
            listing.trim(LIMITS, CopyLimitsTest::importance);
        }
        List<StoredItem> items = listing.changes().items();
        assertThat(items.size(), is(lessThanOrEqualTo(100)));
        assertThat(items.stream().filter(item -> item.key().startsWith("used/")).count(), is(50L));
    }

    private static Importance importance(StoredItem item) {
        if (item.key().startsWith("essential/")) {
            return Importance.ESSENTIAL;
        }
        return item.key().startsWith("used/") ? Importance.IN_USE : Importance.UNUSED;
    }

    private static long sizeOf(PublishedTable table) {
        return table.items().stream().mapToLong(CopyLimits::bytes).sum();
    }

    private List<String> keys() {
        return table.items().stream().map(StoredItem::key).toList();
    }

    private void merge(long revision, StoredItem... items) {
        boolean first = table.position().equals(StorePosition.START);
        table.merge(new StoreChanges(new StorePosition(1, revision), first, List.of(items)));
    }

    private static StoreChanges listing(long revision, StoredItem... items) {
        return new StoreChanges(new StorePosition(1, revision), true, List.of(items));
    }

    private static StoredItem item(String key, long revision) {
        return new StoredItem(key, revision, false, new byte[10]);
    }
}
