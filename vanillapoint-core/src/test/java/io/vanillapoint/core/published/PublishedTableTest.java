package io.vanillapoint.core.published;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Copies of the store that receive changes in any order. */
class PublishedTableTest {
    @Test
    void olderRevisionChangesNothing() {
        PublishedTable table = new PublishedTable(CopyLimits.ofHeap(1 << 30));
        table.merge(changes(5, item("k", 5, "new")));
        assertThat(table.merge(changes(4, item("k", 4, "old"))), is(empty()));
        assertThat(table.position().revision(), is(5L));
    }

    @Test
    void staleCopyDoesNotUndoARemoval() {
        PublishedTable table = new PublishedTable(CopyLimits.ofHeap(1 << 30));
        table.merge(changes(3, item("k", 3, "v")));
        table.merge(changes(4, new StoredItem("k", 4, true, new byte[0])));
        table.merge(changes(3, item("k", 3, "v")));
        assertThat(table.since(at(3)).items().get(0).removed(), is(true));
    }

    @Test
    void listingRemovesMissingKeysUnlessTheyAreNewer() {
        PublishedTable table = new PublishedTable(CopyLimits.ofHeap(1 << 30));
        table.merge(changes(9, item("gone", 3, "v"), item("kept", 4, "v"), item("late", 9, "v")));
        List<StoredItem> changed = table.merge(listing(8, List.of(item("kept", 4, "v"))));
        assertThat(changed.stream().map(StoredItem::key).toList(), is(List.of("gone")));
    }

    @Test
    void removalIsCopiedFromATableThatStartedAfterIt() {
        PublishedTable behind = new PublishedTable(CopyLimits.ofHeap(1 << 30));
        behind.merge(listing(5, List.of(item("gone", 3, "v"), item("kept", 4, "v"))));
        PublishedTable fresh = new PublishedTable(CopyLimits.ofHeap(1 << 30));
        fresh.merge(listing(9, List.of(item("kept", 4, "v"), item("new", 9, "v"))));
        List<StoredItem> changed = behind.merge(fresh.since(behind.position()));
        assertThat(
                changed.stream().map(item -> item.key() + " " + item.removed()).sorted().toList(),
                is(List.of("gone true", "new false")));
    }

    /** Some tables watch the store, with gaps and listings; the others copy from each other. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void copiesConvergeToTheStoreAndNeverGoBack(long seed) {
        Random random = new Random(seed);
        Store store = new Store();
        List<Copy> copies = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            copies.add(new Copy());
        }
        for (int step = 0; step < 2_000; step++) {
            if (random.nextInt(3) == 0) {
                store.change("k" + random.nextInt(12), random.nextInt(4) == 0);
            }
            Copy copy = copies.get(random.nextInt(copies.size()));
            switch (random.nextInt(4)) {
                case 0 -> copy.list(store);
                case 1 -> copy.watch(store);
                default -> copy.copyFrom(copies.get(random.nextInt(copies.size())));
            }
            copy.assertHoldsNoRemovedKey(store);
            if (random.nextInt(40) == 0) {
                copies.set(random.nextInt(copies.size()), new Copy());
            }
        }
        Copy last = copies.get(0);
        last.watch(store);
        copies.forEach(copy -> copy.copyFrom(last));
        copies.forEach(copy -> assertThat(copy.live(), is(store.live())));
    }

    private static StorePosition at(long revision) {
        return new StorePosition(StorePosition.NO_ERA, revision);
    }

    private static StoreChanges listing(long startRevision, List<StoredItem> items) {
        return new StoreChanges(at(startRevision), true, items);
    }

    private static StoreChanges changes(long revision, StoredItem... items) {
        return StoreChanges.changes(at(revision), List.of(items));
    }

    private static StoredItem item(String key, long revision, String value) {
        return new StoredItem(key, revision, false, value.getBytes());
    }

    /** The store with its whole history. */
    private static final class Store {
        private final List<StoredItem> history = new ArrayList<>();
        private long revision;

        void change(String key, boolean remove) {
            revision++;
            history.add(new StoredItem(key, revision, remove, new byte[remove ? 0 : 1]));
        }

        Map<String, Long> live() {
            Map<String, Long> live = new TreeMap<>();
            for (StoredItem item : history) {
                if (item.removed()) {
                    live.remove(item.key());
                } else {
                    live.put(item.key(), item.revision());
                }
            }
            return live;
        }
    }

    /** A table with a check that the revision of a key never decreases. */
    private static final class Copy {
        private final PublishedTable table = new PublishedTable(CopyLimits.ofHeap(1 << 30));
        private final Map<String, StoredItem> seen = new TreeMap<>();

        void list(Store store) {
            Map<String, StoredItem> live = new TreeMap<>();
            store.history.forEach(item -> live.put(item.key(), item));
            List<StoredItem> items = live.values().stream().filter(i -> !i.removed()).toList();
            recordChanges(table.merge(listing(store.revision, items)));
        }

        void watch(Store store) {
            long after = table.position().revision();
            List<StoredItem> newer =
                    store.history.stream().filter(item -> item.revision() > after).toList();
            recordChanges(table.merge(StoreChanges.changes(at(store.revision), newer)));
        }

        void copyFrom(Copy other) {
            recordChanges(table.merge(other.table.since(table.position())));
        }

        Map<String, Long> live() {
            Map<String, Long> live = new TreeMap<>();
            seen.values().stream()
                    .filter(item -> !item.removed())
                    .forEach(item -> live.put(item.key(), item.revision()));
            return live;
        }

        void assertHoldsNoRemovedKey(Store store) {
            Map<String, StoredItem> last = new TreeMap<>();
            store.history.stream()
                    .filter(item -> item.revision() <= table.position().revision())
                    .forEach(item -> last.put(item.key(), item));
            for (StoredItem item : last.values()) {
                StoredItem known = seen.get(item.key());
                boolean kept = known != null && !known.removed();
                boolean stale = kept && known.revision() <= item.revision();
                assertThat(
                        item.key() + " is kept although removed",
                        item.removed() && stale,
                        is(false));
            }
        }

        private void recordChanges(List<StoredItem> changed) {
            for (StoredItem item : changed) {
                StoredItem previous = seen.put(item.key(), item);
                boolean decreased = previous != null && previous.revision() > item.revision();
                assertThat(item.key() + " has a lower revision", decreased, is(false));
            }
        }
    }
}
