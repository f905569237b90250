package io.vanillapoint.entry.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.published.StoreChanges;
import io.vanillapoint.core.published.StorePosition;
import io.vanillapoint.core.published.StoredItem;
import io.vanillapoint.core.upstream.UpstreamPool;
import io.vanillapoint.entry.log.EntryMetrics;
import io.vanillapoint.entry.log.UnexpectedErrors;
import io.vanillapoint.entry.traffic.RecordingLog;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Values that can't be applied because of an unexpected error, beside others. */
class PublishedStateErrorTest {
    private static final long MINUTES_10 = 600_000;
    private static final long TICK_MILLIS = 200;

    private final AtomicLong clock = new AtomicLong(10_000);
    private final RecordingLog log = new RecordingLog();
    private final EntryMetrics metrics = new EntryMetrics();
    private final OddValues format = new OddValues();
    private final UpstreamPool pool = new UpstreamPool(Map.of(new ZoneId("z"), new RegionId("r")));
    private final List<Long> notified = new ArrayList<>();
    private Error listenerError;
    private final PublishedState state =
            new PublishedState(
                    format,
                    pool,
                    log,
                    new UnexpectedErrors(log, metrics),
                    clock::get,
                    publication -> {
                        if (listenerError != null) {
                            throw listenerError;
                        }
                        notified.add(publication.version());
                    });

    @ParameterizedTest
    @MethodSource("io.vanillapoint.entry.control.StoreSyncErrorTest#unexpectedErrors")
    void otherValuesOfTheAnswerAreInForce(Throwable error) {
        format.error = error;
        merge(6, "odd-1", "config", "replica-1", "odd-2", "replica-2");
        assertThat(pool.replica("replica-1").isPresent(), is(true));
        assertThat(pool.replica("replica-2").isPresent(), is(true));
        assertThat(pool.replica("odd-1").isPresent(), is(false));
        assertThat(state.publication().orElseThrow().version(), is(6L));
        assertThat(log.text(EventCode.INTERNAL_ERROR), containsString("odd-1"));
        assertThat(log.text(EventCode.INTERNAL_ERROR), containsString("odd-2"));
        assertThat(metrics.text(), containsString("unexpected_errors 2"));
    }

    @Test
    void valueIsInForceOnceItsErrorIsOver() {
        format.error = new OutOfMemoryError("heap");
        merge(6, "config-odd", "odd-1");
        assertThat(state.publication().isPresent(), is(false));
        format.error = null;
        clock.addAndGet(1_000);
        state.applyHeldBack();
        assertThat(state.publication().orElseThrow().version(), is(6L));
        assertThat(pool.replica("odd-1").isPresent(), is(true));
    }

    @Test
    void valueWhoseErrorRecursIsTriedLessAndLessOften() {
        format.error = new StackOverflowError();
        merge(6, "odd-1");
        for (long passed = 0; passed < MINUTES_10; passed += TICK_MILLIS) {
            clock.addAndGet(TICK_MILLIS);
            state.applyHeldBack();
        }
        assertThat(format.readings, is(lessThan(30)));
    }

    /**
     * The heap may be short for half a minute; the configuration is due seconds after its write.
     */
    @Test
    void configurationIsInForceSoonAfterAnErrorThatLasted() {
        format.error = new OutOfMemoryError("heap");
        merge(6, "config-odd");
        for (long passed = 0; passed < 30_000; passed += TICK_MILLIS) {
            clock.addAndGet(TICK_MILLIS);
            state.applyHeldBack();
        }
        format.error = null;
        for (long passed = 0; passed < 3_000; passed += TICK_MILLIS) {
            clock.addAndGet(TICK_MILLIS);
            state.applyHeldBack();
        }
        assertThat(state.publication().isPresent(), is(true));
    }

    @Test
    void newerValueReplacesTheOneThatFailed() {
        format.error = new StackOverflowError();
        merge(6, "odd-1");
        format.error = null;
        StoredItem removal = new StoredItem("odd-1", 7, true, new byte[0]);
        state.merge(
                StoreChanges.changes(new StorePosition(1, 7), List.of(removal)), "watch", false);
        clock.addAndGet(MINUTES_10);
        state.applyHeldBack();
        assertThat(pool.replica("odd-1").isPresent(), is(false));
    }

    @Test
    void listenerThatFailedIsNotifiedOfTheConfigurationLater() {
        listenerError = new OutOfMemoryError("heap");
        merge(6, "config");
        listenerError = null;
        clock.addAndGet(1_000);
        state.applyHeldBack();
        assertThat(notified, is(List.of(6L)));
        assertThat(state.publication().orElseThrow().version(), is(6L));
    }

    @Test
    void valuesOfAMergeThatFailedAreInForceAfterTheNextOne() {
        merge(6, "config");
        log.onRecord(
                code -> {
                    if (code == EventCode.STORE_ERA) {
                        throw new OutOfMemoryError("heap");
                    }
                });
        StoredItem replica = new StoredItem("replica-1", 3, false, new byte[0]);
        StoreChanges restored = new StoreChanges(new StorePosition(2, 3), true, List.of(replica));
        assertThrows(OutOfMemoryError.class, () -> state.merge(restored, "listing", false));
        log.onRecord(code -> {});
        state.merge(restored, "listing", false);
        assertThat(pool.replica("replica-1").isPresent(), is(true));
    }

    private void merge(long revision, String... keys) {
        List<StoredItem> items = new ArrayList<>();
        for (String key : keys) {
            items.add(new StoredItem(key, revision, false, new byte[0]));
        }
        state.merge(
                new StoreChanges(new StorePosition(1, revision), true, items), "listing", false);
    }
}
