package io.vanillapoint.entry.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.notNullValue;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.core.published.StoreChanges;
import io.vanillapoint.core.published.StorePosition;
import io.vanillapoint.core.published.StoredItem;
import io.vanillapoint.core.upstream.UpstreamPool;
import io.vanillapoint.entry.log.EntryMetrics;
import io.vanillapoint.entry.log.UnexpectedErrors;
import io.vanillapoint.entry.port.StoreException;
import io.vanillapoint.entry.traffic.RecordingLog;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Detection of an unavailable store from the VM's own calls. */
class StoreSyncTest {
    private static final long START = 10_000;

    private final Vertx vertx = Vertx.vertx();
    private final AtomicBoolean othersRead = new AtomicBoolean(true);
    private final AtomicLong clock = new AtomicLong(START);
    private final RecordingLog log = new RecordingLog();
    private final UnexpectedErrors errors = new UnexpectedErrors(log, new EntryMetrics());
    private final FakeSource source = new FakeSource();
    private final PublishedState publishedState =
            new PublishedState(
                    new FaultyValues(),
                    new UpstreamPool(Map.of()),
                    (code, values) -> {},
                    errors,
                    clock::get,
                    publication -> {});
    private final StoreSync sync =
            new StoreSync(
                    vertx,
                    source,
                    publishedState,
                    log,
                    errors,
                    clock::get,
                    () -> true,
                    othersRead::get);
    private Promise<StoreChanges> watch;

    @BeforeEach
    void start() throws Exception {
        sync.start();
        watch = source.nextWatch();
    }

    @AfterEach
    void close() throws Exception {
        vertx.close().await(10, TimeUnit.SECONDS);
    }

    @Test
    void storeThatRespondsToWatchesInTimeIsAvailable() throws Exception {
        clock.addAndGet(3_000);
        completeWatch();
        assertThat(sync.storeWasUnavailable(), is(false));
    }

    @Test
    void failedStoreIsUnavailableUntilShortlyAfterItsReturn() throws Exception {
        watch.fail(new StoreException(StoreException.Kind.UNREACHABLE, "connection reset"));
        assertThat(sync.storeWasUnavailable(), is(true));
        watch = source.nextWatch();
        clock.addAndGet(5_000);
        completeWatch();
        assertThat(sync.storeWasUnavailable(), is(true));
        clock.addAndGet(3_000);
        assertThat(sync.storeWasUnavailable(), is(false));
    }

    @Test
    void lateWatchResponseShowsThatTheStoreWasUnavailable() throws Exception {
        clock.addAndGet(3_600);
        completeWatch();
        assertThat(sync.storeWasUnavailable(), is(true));
    }

    /** A connection that falls silent shows only when the wait is over. */
    @Test
    void watchesAreShortWhileNoOtherVmWouldTellOfAChange() throws Exception {
        othersRead.set(false);
        completeWatch();
        assertThat(source.lastWaitMillis(), is(lessThanOrEqualTo(1_000L)));
        othersRead.set(true);
        completeWatch();
        assertThat(source.lastWaitMillis(), is(3_000L));
    }

    @Test
    void storeIsReadOnAfterAValueThatCausesAnUnexpectedError() throws Exception {
        StoredItem item = new StoredItem(FaultyValues.KEY, 6, false, new byte[0]);
        watch.complete(StoreChanges.changes(new StorePosition(1, 6), List.of(item)));
        assertThat(source.nextWatch(), is(notNullValue()));
        assertThat(log.codes(), hasItem(EventCode.INTERNAL_ERROR));
    }

    private void completeWatch() throws Exception {
        watch.complete(StoreChanges.changes(new StorePosition(1, 5), List.of()));
        watch = source.nextWatch();
    }

    /** A format that fails at one key. Stateless. */
    private static final class FaultyValues extends NoValues {
        private static final String KEY = "faulty";

        @Override
        public Kind kind(String key) {
            if (key.equals(KEY)) {
                throw new IllegalStateException("faulty value");
            }
            return super.kind(key);
        }
    }
}
