package io.vanillapoint.entry.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vanillapoint.api.finding.Findings;
import io.vanillapoint.core.published.GatewayPublication;
import io.vanillapoint.core.published.PublishedFormat;
import io.vanillapoint.core.published.StoredItem;
import io.vanillapoint.core.upstream.UpstreamPool;
import io.vanillapoint.entry.log.EntryMetrics;
import io.vanillapoint.entry.log.UnexpectedErrors;
import io.vanillapoint.entry.port.StoreException.Kind;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Later revisions are read in time, whatever entries and answers the store has. */
class StoreProgressTest {
    private static final int ENTRIES = 24;
    private static final int ENTRY_BYTES = 1_000_000;

    /** Time within which a withdrawn key has to be refused. */
    private static final long CONFIGURATION_MILLIS = 3_000;

    private static final String CONFIGURATION = "op/config";
    private static final double FAST_BYTES_PER_MILLI = 17_500;

    /** A link of 7 Mbit/s, the slowest one. */
    private static final double SLOW_BYTES_PER_MILLI = 875;

    private final VirtualTime time = new VirtualTime();
    private final RecordingValues format = new RecordingValues();
    private VirtualStore store;
    private PublishedState state;

    @BeforeEach
    void start() {
        start(FAST_BYTES_PER_MILLI);
    }

    /** Guards against a watch that is repeated although its answer is too large each time. */
    @ParameterizedTest
    @ValueSource(strings = {"servers/i-foreign-", "op/evacuate/z-", "other/", "a/", "op/x-"})
    void configurationIsAppliedInTimeAfterLargeEntries(String prefix) {
        putLargeEntries(prefix);
        assertThat(configurationDelayMillis(), is(lessThanOrEqualTo(CONFIGURATION_MILLIS)));
    }

    /** Guards against a large configuration that can't be read in the way of the next one. */
    @Test
    void configurationIsAppliedInTimeAfterLargeOnesThatCannotBeRead() {
        for (int i = 0; i < ENTRIES; i++) {
            store.put(CONFIGURATION, ENTRY_BYTES);
            time.run(10);
        }
        assertThat(configurationDelayMillis(), is(lessThanOrEqualTo(CONFIGURATION_MILLIS)));
    }

    /** Guards against a listing that takes 38 s, during which no configuration is read. */
    @Test
    void configurationIsAppliedInTimeDuringALongListing() {
        start(SLOW_BYTES_PER_MILLI);
        putLargeEntries("servers/i-foreign-");
        time.run(6_000);
        assertThat(configurationDelayMillis(), is(lessThanOrEqualTo(CONFIGURATION_MILLIS)));
    }

    /** Guards against failures of watches that listings don't make up for. */
    @ParameterizedTest
    @EnumSource(
            value = Kind.class,
            names = {"HISTORY_GONE", "TOO_LARGE", "MALFORMED"})
    void configurationIsAppliedInTimeWhileAllWatchesFail(Kind kind) {
        store.failWatches(Optional.of(kind));
        time.run(5_000);
        assertThat(configurationDelayMillis(), is(lessThanOrEqualTo(CONFIGURATION_MILLIS)));
    }

    /** Guards against a reader that repeats failed calls without a pause. */
    @ParameterizedTest
    @EnumSource(Kind.class)
    void callsStayFewWhileAllWatchesFail(Kind kind) {
        store.failWatches(Optional.of(kind));
        time.run(5_000);
        int before = store.callTimes().size();
        time.run(60_000);
        // A watch and two listings of one page at most, each half a second at least.
        assertThat(store.callTimes().size() - before, is(lessThanOrEqualTo(60 * 2 * 3)));
    }

    @Test
    void allRevisionsAreKnownAfterLargeEntries() {
        putLargeEntries("servers/i-foreign-");
        int before = store.callTimes().size();
        time.run(4_000);
        assertThat(state.position().revision(), is(store.revision()));
        int pages = ENTRIES + 1;
        assertThat(
                "one listing",
                store.callTimes().size() - before,
                is(lessThanOrEqualTo(pages + 2 * (pages / 10 + 4))));
    }

    @Test
    void watchesGoOnAfterTheListing() {
        putLargeEntries("servers/i-foreign-");
        time.run(4_000);
        store.failWatches(Optional.empty());
        assertThat(configurationDelayMillis(), is(lessThanOrEqualTo(100L)));
    }

    private void start(double bytesPerMilli) {
        store = new VirtualStore(time, bytesPerMilli);
        state =
                new PublishedState(
                        format,
                        new UpstreamPool(Map.of()),
                        (code, values) -> {},
                        new UnexpectedErrors((code, values) -> {}, new EntryMetrics()),
                        time::nowMillis,
                        publication -> {});
        StoreSync sync =
                new StoreSync(
                        time.vertx(),
                        store,
                        state,
                        (code, values) -> {},
                        new UnexpectedErrors((code, values) -> {}, new EntryMetrics()),
                        time::nowMillis,
                        () -> true,
                        () -> true);
        store.put(CONFIGURATION, 100);
        sync.start();
        time.run(1_000);
        assertThat(state.position().revision(), is(greaterThanOrEqualTo(1L)));
    }

    private void putLargeEntries(String prefix) {
        for (int i = 0; i < ENTRIES; i++) {
            store.put(prefix + i, ENTRY_BYTES);
        }
    }

    /** Writes a configuration and returns the time until it is applied. */
    private long configurationDelayMillis() {
        long writtenAt = time.nowMillis();
        store.put(CONFIGURATION, 200);
        long revision = store.revision();
        time.run(30_000);
        return format.appliedAt(revision) - writtenAt;
    }

    /** Records when configurations are read. Confined to one thread. */
    private final class RecordingValues extends NoValues {
        private final Map<Long, Long> appliedAt = new HashMap<>();

        @Override
        public PublishedFormat.Kind kind(String key) {
            if (key.equals(CONFIGURATION)) {
                return PublishedFormat.Kind.CONFIGURATION;
            }
            return key.startsWith("op/evacuate/")
                    ? PublishedFormat.Kind.EVACUATION
                    : PublishedFormat.Kind.OTHER;
        }

        @Override
        public Optional<GatewayPublication> configuration(StoredItem item, Findings findings) {
            appliedAt.putIfAbsent(item.revision(), time.nowMillis());
            return Optional.empty();
        }

        private long appliedAt(long revision) {
            return appliedAt.getOrDefault(revision, Long.MAX_VALUE);
        }
    }
}
