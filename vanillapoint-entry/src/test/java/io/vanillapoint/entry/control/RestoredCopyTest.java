package io.vanillapoint.entry.control;

import static io.vanillapoint.entry.control.NamedValues.CONFIGURATION;
import static io.vanillapoint.entry.control.NamedValues.REPLICAS;
import static io.vanillapoint.entry.control.NamedValues.item;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.published.StoreChanges;
import io.vanillapoint.core.published.StorePosition;
import io.vanillapoint.core.published.StoredItem;
import io.vanillapoint.core.upstream.ReplicaTracker;
import io.vanillapoint.core.upstream.UpstreamPool;
import io.vanillapoint.entry.log.EntryMetrics;
import io.vanillapoint.entry.log.UnexpectedErrors;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Entries of a store that has returned from a copy some seconds old. */
class RestoredCopyTest {
    private static final String KEY = REPLICAS + "i-1";
    private static final StoredItem SERVICES = item(CONFIGURATION, 1, "model");

    private final AtomicLong clock = new AtomicLong(10_000);
    private final UpstreamPool pool = new UpstreamPool(Map.of(NamedValues.ZONE, new RegionId("r")));
    private final UnexpectedErrors errors =
            new UnexpectedErrors((code, values) -> {}, new EntryMetrics());
    private final PublishedState state =
            new PublishedState(
                    new NamedValues(),
                    pool,
                    (code, values) -> {},
                    errors,
                    clock::get,
                    publication -> {});

    /** Guards against a cold replica that gets requests as a warm one and crashes. */
    @Test
    void replicaStaysColdWhenTheCopyShowsItWarm() {
        listing(1, 5, SERVICES, item(KEY, 5, "model 3000 1"));
        clock.addAndGet(500);
        listing(2, 4, SERVICES, item(KEY, 3, "model 0 1"));
        assertThat(replica().coldRemainingMillis(clock.get()), is(2_500L));
    }

    @Test
    void restartedReplicaStaysColdWhenTheCopyShowsItsFormerProcess() {
        listing(1, 5, SERVICES, item(KEY, 5, "model 3000 7"));
        clock.addAndGet(500);
        listing(2, 4, SERVICES, item(KEY, 3, "model 0 1"));
        assertThat(replica().coldRemainingMillis(clock.get()), is(2_500L));
        assertThat(replica().info().startedAtMillis(), is(7L));
    }

    @Test
    void entryThatIsWrittenAgainHolds() {
        listing(1, 5, SERVICES, item(KEY, 5, "model 3000 1"));
        listing(2, 4, SERVICES, item(KEY, 3, "model 0 1"));
        clock.addAndGet(1_000);
        state.merge(
                StoreChanges.changes(new StorePosition(2, 5), List.of(item(KEY, 5, "model 0 1"))),
                "watch",
                false);
        assertThat(replica().cold(clock.get()), is(false));
    }

    @Test
    void copyThatShowsAReplicaColderHolds() {
        listing(1, 5, SERVICES, item(KEY, 5, "model 0 1"));
        listing(2, 4, SERVICES, item(KEY, 3, "model 3000 1"));
        assertThat(replica().coldRemainingMillis(clock.get()), is(3_000L));
    }

    @Test
    void copyThatShowsALaterProcessHolds() {
        listing(1, 5, SERVICES, item(KEY, 5, "model 3000 1"));
        listing(2, 4, SERVICES, item(KEY, 3, "model 0 7"));
        assertThat(replica().info().startedAtMillis(), is(7L));
    }

    private ReplicaTracker replica() {
        return pool.replica("i-1").orElseThrow();
    }

    private void listing(long era, long revision, StoredItem... items) {
        StorePosition position = new StorePosition(era, revision);
        state.merge(new StoreChanges(position, true, List.of(items)), "listing", false);
    }
}
