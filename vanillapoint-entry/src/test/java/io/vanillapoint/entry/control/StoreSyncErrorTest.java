package io.vanillapoint.entry.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.core.published.StoreChanges;
import io.vanillapoint.core.published.StorePosition;
import io.vanillapoint.core.published.StoredItem;
import io.vanillapoint.core.upstream.UpstreamPool;
import io.vanillapoint.entry.log.EntryMetrics;
import io.vanillapoint.entry.log.UnexpectedErrors;
import io.vanillapoint.entry.traffic.RecordingLog;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** The store is read on, whatever a value or a call does. */
class StoreSyncErrorTest {
    private static final String ODD_KEY = "odd";

    private final Vertx vertx = Vertx.vertx();
    private final AtomicLong clock = new AtomicLong(10_000);
    private final RecordingLog log = new RecordingLog();
    private final EntryMetrics metrics = new EntryMetrics();
    private final FakeSource source = new FakeSource();
    private final OddValues format = new OddValues();
    private final UnexpectedErrors errors = new UnexpectedErrors(log, metrics);
    private final StoreSync sync =
            new StoreSync(
                    vertx,
                    source,
                    new PublishedState(
                            format,
                            new UpstreamPool(Map.of()),
                            log,
                            errors,
                            clock::get,
                            publication -> {}),
                    log,
                    errors,
                    clock::get,
                    () -> true,
                    () -> true);
    private Promise<StoreChanges> watch;

    static Stream<Throwable> unexpectedErrors() {
        return Stream.of(
                new StackOverflowError(),
                new OutOfMemoryError("heap"),
                new NoClassDefFoundError("Missing"),
                new AssertionError("invariant"),
                new IllegalStateException("unforeseen"));
    }

    @BeforeEach
    void start() throws Exception {
        sync.start();
        watch = source.nextWatch();
    }

    @AfterEach
    void close() throws Exception {
        vertx.close().await(10, TimeUnit.SECONDS);
    }

    @ParameterizedTest
    @MethodSource("unexpectedErrors")
    void storeIsReadOnAfterAnErrorInOneValue(Throwable error) throws Exception {
        format.error = error;
        completeWatch(6);
        assertThat(source.nextWatch(), is(notNullValue()));
        assertThat(log.text(EventCode.INTERNAL_ERROR), containsString(ODD_KEY));
        assertThat(metrics.text(), containsString("unexpected_errors"));
    }

    @ParameterizedTest
    @MethodSource("unexpectedErrors")
    void storeIsReadOnAfterAnErrorWhileAnAnswerIsMerged(Throwable error) throws Exception {
        log.onRecord(
                code -> {
                    if (code == EventCode.STORE_ERA_UNUSABLE) {
                        OddValues.sneakyThrow(error);
                    }
                });
        watch.complete(
                StoreChanges.changes(new StorePosition(StorePosition.INVALID_ERA, 6), List.of()));
        assertThat(source.nextWatch(), is(notNullValue()));
        assertThat(log.codes().contains(EventCode.INTERNAL_ERROR), is(true));
    }

    @Test
    void storeIsReadOnAfterACallThatCouldNotBeMade() throws Exception {
        source.failNextWatch(new OutOfMemoryError("heap"));
        source.failNextWatch(new StackOverflowError());
        completeWatch(6);
        assertThat(source.nextWatch(), is(notNullValue()));
    }

    @Test
    void storeIsReadOnAfterAFailureThatCouldNotBeLogged() throws Exception {
        log.onRecord(
                code -> {
                    if (code == EventCode.STORE_LOST) {
                        throw new AssertionError("log");
                    }
                });
        watch.fail(new IllegalStateException("connection reset"));
        assertThat(source.nextWatch(), is(notNullValue()));
    }

    @Test
    void storeIsReadOnAfterACallThatNeverEnds() throws Exception {
        clock.addAndGet(60_000);
        assertThat(source.nextWatch(), is(notNullValue()));
        assertThat(sync.storeWasUnavailable(), is(true));
    }

    @Test
    void answerOfAnAbandonedCallIsIgnored() throws Exception {
        clock.addAndGet(60_000);
        Promise<StoreChanges> next = source.nextWatch();
        completeWatch(6);
        next.complete(StoreChanges.changes(new StorePosition(1, 5), List.of()));
        assertThat(source.nextWatch(), is(notNullValue()));
        assertThat(source.pendingWatches(), is(0));
    }

    private void completeWatch(long revision) {
        StoredItem item = new StoredItem(ODD_KEY, revision, false, new byte[0]);
        watch.complete(StoreChanges.changes(new StorePosition(1, revision), List.of(item)));
    }
}
