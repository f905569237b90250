package io.vanillapoint.core.published;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tables follow a store that returns from older copies and gives revisions out again. */
class StoreEraTest {
    private static final byte[] NOTHING = new byte[0];

    @Test
    void listingOfALaterEraReplacesTheTable() {
        PublishedTable table = new PublishedTable(CopyLimits.ofHeap(1 << 30));
        table.merge(listing(1, 900, item("kept", 10, "a"), item("lost", 890, "b")));
        List<StoredItem> changed =
                table.merge(listing(2, 872, item("kept", 10, "a"), item("new", 871, "c")));
        assertThat(keys(changed), is(List.of("lost removed", "new c")));
        assertThat(table.position(), is(new StorePosition(2, 872)));
    }

    @Test
    void changesOfALaterEraAreNotAppliedWithoutAListing() {
        PublishedTable table = new PublishedTable(CopyLimits.ofHeap(1 << 30));
        table.merge(listing(1, 900, item("k", 10, "a")));
        StoreChanges later =
                StoreChanges.changes(new StorePosition(2, 905), List.of(item("k", 904, "b")));
        assertThat(table.precedesEraOf(later), is(true));
        assertThat(table.merge(later), is(empty()));
        assertThat(table.position(), is(new StorePosition(1, 900)));
    }

    @Test
    void lateAnswersOfAnEarlierEraChangeNothing() {
        PublishedTable table = new PublishedTable(CopyLimits.ofHeap(1 << 30));
        table.merge(listing(2, 872, item("k", 871, "new")));
        assertThat(table.merge(listing(1, 900, item("k", 890, "old"))), is(empty()));
        StoreChanges early =
                StoreChanges.changes(new StorePosition(1, 950), List.of(item("k", 950, "old")));
        assertThat(table.merge(early), is(empty()));
        assertThat(table.find("k").value(), is("new".getBytes()));
    }

    @Test
    void vmOfAnEarlierEraGetsAllItems() {
        PublishedTable table = new PublishedTable(CopyLimits.ofHeap(1 << 30));
        table.merge(listing(2, 872, item("a", 5, "x"), item("b", 871, "y")));
        StoreChanges sent = table.since(new StorePosition(1, 900));
        assertThat(sent.complete(), is(true));
        assertThat(sent.items().size(), is(2));
    }

    /** Some tables read the store, late or twice; the others copy from each other. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void tablesConvergeWhateverOrderTheyHearIn(long seed) {
        Random random = new Random(seed);
        Store store = new Store();
        List<PublishedTable> tables = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            tables.add(new PublishedTable(CopyLimits.ofHeap(1 << 30)));
        }
        List<StoreChanges> delayed = new ArrayList<>();
        for (int step = 0; step < 2_000; step++) {
            PublishedTable table = tables.get(random.nextInt(tables.size()));
            StorePosition before = table.position();
            switch (random.nextInt(12)) {
                case 0 -> delayed.add(store.listing());
                case 1 -> table.merge(store.listing());
                case 2, 3 -> store.watch(table).ifPresent(table::merge);
                case 4, 5, 6 -> {
                    PublishedTable other = tables.get(random.nextInt(tables.size()));
                    if (other.position().isAfter(table.position())) {
                        table.merge(other.since(table.position()));
                    }
                }
                case 7 -> {
                    if (!delayed.isEmpty()) {
                        table.merge(delayed.remove(random.nextInt(delayed.size())));
                    }
                }
                case 8 -> store.goBack(random, step);
                default -> store.change(random);
            }
            assertThat(before.isAfter(table.position()), is(false));
        }
        store.change(random);
        tables.get(0).merge(store.listing());
        for (PublishedTable table : tables) {
            table.merge(tables.get(0).since(table.position()));
            assertThat(store.content(table), is(store.items));
        }
    }

    private static StoreChanges listing(long era, long revision, StoredItem... items) {
        return new StoreChanges(new StorePosition(era, revision), true, List.of(items));
    }

    private static StoredItem item(String key, long revision, String value) {
        return new StoredItem(key, revision, false, value.getBytes());
    }

    private static List<String> keys(List<StoredItem> items) {
        return items.stream()
                .map(i -> i.key() + " " + (i.removed() ? "removed" : new String(i.value())))
                .sorted()
                .toList();
    }

    /** A store with copies of its earlier states. */
    private static final class Store {
        private final Map<String, String> items = new TreeMap<>();
        private final Map<String, Long> revisions = new TreeMap<>();
        private final List<StoredItem> history = new ArrayList<>();
        private long era = 1;
        private long revision = 100;

        void change(Random random) {
            String key = "k" + random.nextInt(8);
            apply(random.nextInt(3) == 0, key, era + "-" + ++revision);
            history.add(
                    new StoredItem(
                            key,
                            revision,
                            !items.containsKey(key),
                            items.containsKey(key) ? items.get(key).getBytes() : NOTHING));
        }

        private void apply(boolean remove, String key, String value) {
            if (remove) {
                items.remove(key);
                revisions.remove(key);
            } else {
                items.put(key, value);
                revisions.put(key, revision);
            }
        }

        void goBack(Random random, int step) {
            if (step % 5 != 0 || history.isEmpty()) {
                return;
            }
            long copy = Math.max(100, revision - random.nextInt(30));
            history.removeIf(item -> item.revision() > copy);
            items.clear();
            revisions.clear();
            for (StoredItem item : history) {
                revision = item.revision();
                apply(item.removed(), item.key(), new String(item.value()));
            }
            revision = copy;
            era++;
        }

        StoreChanges listing() {
            List<StoredItem> listed = new ArrayList<>();
            items.forEach((key, value) -> listed.add(item(key, revisions.get(key), value)));
            return new StoreChanges(new StorePosition(era, revision), true, listed);
        }

        /** A watch from a revision that the store lacks, or of an earlier era, needs a listing. */
        Optional<StoreChanges> watch(PublishedTable table) {
            if (table.position().era() != era || table.position().revision() > revision) {
                return Optional.of(listing());
            }
            long after = table.position().revision();
            List<StoredItem> newer =
                    history.stream().filter(item -> item.revision() > after).toList();
            return Optional.of(StoreChanges.changes(new StorePosition(era, revision), newer));
        }

        Map<String, String> content(PublishedTable table) {
            Map<String, String> content = new TreeMap<>();
            table.since(new StorePosition(-1, 0))
                    .items()
                    .forEach(item -> content.put(item.key(), new String(item.value())));
            return content;
        }
    }
}
