package io.vanillapoint.entry.control;

import static io.vanillapoint.entry.control.NamedValues.CONFIGURATION;
import static io.vanillapoint.entry.control.NamedValues.REPLICAS;
import static io.vanillapoint.entry.control.NamedValues.item;
import static io.vanillapoint.entry.control.NamedValues.removed;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import com.sun.management.ThreadMXBean;
import io.vanillapoint.api.event.EventSink;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.published.StoreChanges;
import io.vanillapoint.core.published.StorePosition;
import io.vanillapoint.core.published.StoredItem;
import io.vanillapoint.core.upstream.UpstreamPool;
import io.vanillapoint.entry.log.EntryMetrics;
import io.vanillapoint.entry.log.UnexpectedErrors;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Entries that another writer leaves among those of the replicas. */
class ForeignEntriesTest {
    private static final int ENTRIES = 4_000;

    /** Items that a copy of the store may hold, removed keys included. */
    private static final int MAX_ITEMS = 20_000;

    /** What an entry may cost when it is applied, with a wide margin. */
    private static final long BYTES_PER_ENTRY = 16_384;

    private final AtomicLong clock = new AtomicLong(10_000);
    private final EventSink log = (code, values) -> {};
    private final UpstreamPool pool = new UpstreamPool(Map.of(NamedValues.ZONE, new RegionId("r")));
    private final PublishedState state =
            new PublishedState(
                    new NamedValues(),
                    pool,
                    log,
                    new UnexpectedErrors(log, new EntryMetrics()),
                    clock::get,
                    publication -> {});
    private long revision = 1;

    /** Guards against processes that end because each entry costs as much as all before it. */
    @Test
    void entriesOfServicesThatAreNotNamedCostWhatTheirNumberExplains() {
        merge(item(CONFIGURATION, 1, "model"));
        long before = allocatedBytes();
        merge(foreignEntries());
        assertThat(allocatedBytes() - before, is(lessThan(ENTRIES * BYTES_PER_ENTRY)));
        assertThat(pool.replicas().size(), is(0));
    }

    /** Guards against the same cost for entries of a service that is named. */
    @Test
    void entriesOfANamedServiceCostWhatTheirNumberExplains() {
        merge(item(CONFIGURATION, 1, "model"));
        List<StoredItem> entries = new ArrayList<>();
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(item(REPLICAS + i, ++revision, "model"));
        }
        long before = allocatedBytes();
        merge(entries.toArray(StoredItem[]::new));
        assertThat(allocatedBytes() - before, is(lessThan(ENTRIES * BYTES_PER_ENTRY)));
        assertThat(pool.serving("model", clock.get()).size(), is(ENTRIES));
    }

    @Test
    void entryIsInUseOnceItsServiceIsNamed() {
        merge(item(REPLICAS + "i-1", 1, "model"), item(REPLICAS + "i-2", 2, "other"));
        assertThat(pool.replicas().size(), is(0));
        merge(item(CONFIGURATION, 3, "model"));
        assertThat(pool.serving("model", clock.get()).size(), is(1));
        merge(item(CONFIGURATION, 4, "model,other"));
        assertThat(pool.serving("other", clock.get()).size(), is(1));
    }

    @Test
    void removedEntryIsNotInUseOnceItsServiceIsNamed() {
        merge(item(REPLICAS + "i-1", 1, "model"));
        merge(removed(REPLICAS + "i-1", 2));
        merge(item(CONFIGURATION, 3, "model"));
        assertThat(pool.replicas().size(), is(0));
    }

    @Test
    void replicaWhoseEntryMovesToAServiceThatIsNotNamedGetsNoRequests() {
        merge(item(CONFIGURATION, 1, "model"), item(REPLICAS + "i-1", 2, "model"));
        assertThat(pool.serving("model", clock.get()).size(), is(1));
        merge(item(REPLICAS + "i-1", 3, "other"));
        assertThat(pool.serving("model", clock.get()).size(), is(0));
        assertThat(pool.serving("other", clock.get()).size(), is(0));
    }

    /** Guards against requests to the address of a former entry. */
    @Test
    void replicaWhoseEntryMovesToAnUnknownZoneGetsNoRequests() {
        merge(item(CONFIGURATION, 1, "model"), item(REPLICAS + "i-1", 2, "model"));
        merge(item(REPLICAS + "i-1", 3, "model 0 1 elsewhere"));
        assertThat(pool.serving("model", clock.get()).size(), is(0));
    }

    /** Guards against a heap that is filled by entries that nothing uses. */
    @Test
    void entriesThatNothingUsesAreDroppedBeyondTheLimit() {
        merge(item(CONFIGURATION, 1, "model"));
        for (int i = 0; i < 12; i++) {
            merge(item(REPLICAS + "i-" + i, ++revision, "model"));
            merge(foreignEntries());
        }
        assertThat(state.since(new StorePosition(1, 1)).items().size(), is(lessThan(MAX_ITEMS)));
        assertThat(pool.serving("model", clock.get()).size(), is(12));
    }

    /** Guards against a heap that is filled by what is left of removed keys. */
    @Test
    void removedKeysAreDroppedBeyondTheLimit() {
        merge(item(CONFIGURATION, 1, "model"));
        for (int i = 0; i < 12; i++) {
            StoredItem[] entries = foreignEntries();
            merge(entries);
            for (int j = 0; j < entries.length; j++) {
                entries[j] = removed(entries[j].key(), ++revision);
            }
            merge(entries);
        }
        assertThat(state.since(new StorePosition(1, 1)).items().size(), is(lessThan(MAX_ITEMS)));
    }

    private StoredItem[] foreignEntries() {
        List<StoredItem> entries = new ArrayList<>();
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(item(REPLICAS + "x-" + ++revision, revision, "service-" + revision));
        }
        return entries.toArray(StoredItem[]::new);
    }

    private void merge(StoredItem... items) {
        for (StoredItem item : items) {
            revision = Math.max(revision, item.revision());
        }
        boolean first = state.position().equals(StorePosition.START);
        state.merge(
                new StoreChanges(new StorePosition(1, revision), first, List.of(items)),
                "store",
                false);
    }

    private static long allocatedBytes() {
        return ((ThreadMXBean) ManagementFactory.getThreadMXBean())
                .getThreadAllocatedBytes(Thread.currentThread().getId());
    }
}
