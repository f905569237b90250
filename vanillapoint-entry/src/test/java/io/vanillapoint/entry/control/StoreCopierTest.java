package io.vanillapoint.entry.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.fleet.FleetReport;
import io.vanillapoint.core.fleet.FleetTiming;
import io.vanillapoint.core.fleet.FleetView;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.fleet.MemberState;
import io.vanillapoint.core.published.StorePosition;
import io.vanillapoint.core.upstream.UpstreamPool;
import io.vanillapoint.entry.log.EntryMetrics;
import io.vanillapoint.entry.log.UnexpectedErrors;
import io.vanillapoint.entry.traffic.RecordingLog;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.lang.reflect.Proxy;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Copies from a VM whose answers never end. */
class StoreCopierTest {
    private static final String HOST = "127.0.0.1";
    private static final String OTHER_HOST = "127.0.0.2";
    private static final int COPIES = 3;
    private static final long BYTE_INTERVAL_MILLIS = 50;
    private static final long HEARTBEAT_MILLIS = 50;
    private static final long WAIT_SECONDS = 20;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final UnexpectedErrors errors =
            new UnexpectedErrors((code, values) -> {}, new EntryMetrics());
    private final RecordingLog log = new RecordingLog();
    private final FakeSource source = new FakeSource();
    private boolean readsStore;
    private final CountDownLatch copies = new CountDownLatch(COPIES);

    @AfterEach
    void close() throws Exception {
        vertx.close().await(10, TimeUnit.SECONDS);
    }

    @Test
    void copyThatArrivesByteByByteIsGivenUpAndRepeated() throws Exception {
        HttpServer server =
                vertx.createHttpServer()
                        .requestHandler(this::answerByteByByte)
                        .listen(0, HOST)
                        .await(10, TimeUnit.SECONDS);
        Promise<Void> started = Promise.promise();
        vertx.runOnContext(
                ignored -> {
                    start(server.actualPort(), vertx.createHttpClient());
                    started.complete();
                });
        started.future().await(10, TimeUnit.SECONDS);
        assertThat("copies began", copies.await(WAIT_SECONDS, TimeUnit.SECONDS), is(true));
    }

    /** Guards against copies that are too large from each VM, and are repeated. */
    @Test
    void storeIsListedAfterACopyThatIsTooLarge() throws Exception {
        int port =
                vertx.createHttpServer()
                        .requestHandler(
                                request ->
                                        request.response().end(Buffer.buffer(new byte[17 << 20])))
                        .listen(0, HOST)
                        .await(10, TimeUnit.SECONDS)
                        .actualPort();
        vertx.runOnContext(
                ignored -> {
                    readsStore = true;
                    start(port, vertx.createHttpClient());
                });
        assertThat("listed", source.awaitOrderListing(), is(true));
        assertThat(log.codes(), hasItem(EventCode.STORE_NOT_COPIED));
    }

    @Test
    void anotherVmIsAskedAfterOneThatDoesNotAnswer() throws Exception {
        HttpServer silent =
                vertx.createHttpServer()
                        .requestHandler(request -> {})
                        .listen(0, HOST)
                        .await(10, TimeUnit.SECONDS);
        CountDownLatch asked = new CountDownLatch(1);
        vertx.createHttpServer()
                .requestHandler(request -> asked.countDown())
                .listen(silent.actualPort(), OTHER_HOST)
                .await(10, TimeUnit.SECONDS);
        vertx.runOnContext(
                ignored ->
                        start(
                                silent.actualPort(),
                                vertx.createHttpClient(),
                                Map.of(vm("vm-2", HOST), 101L, vm("vm-3", OTHER_HOST), 100L)));
        assertThat("asked", asked.await(WAIT_SECONDS, TimeUnit.SECONDS), is(true));
    }

    @Test
    void copyThatCannotBeSentIsTriedAgain() throws Exception {
        HttpClient failing =
                (HttpClient)
                        Proxy.newProxyInstance(
                                HttpClient.class.getClassLoader(),
                                new Class<?>[] {HttpClient.class},
                                (proxy, method, arguments) -> {
                                    copies.countDown();
                                    throw new OutOfMemoryError("heap");
                                });
        vertx.runOnContext(ignored -> start(1, failing));
        assertThat("copies began", copies.await(WAIT_SECONDS, TimeUnit.SECONDS), is(true));
        assertThat(log.codes(), hasItem(EventCode.STORE_NOT_COPIED));
    }

    @Test
    void refusedConnectionIsNoInternalError() throws Exception {
        CompletableFuture<Void> logged = new CompletableFuture<>();
        log.onRecord(
                code -> {
                    if (code == EventCode.STORE_NOT_COPIED) {
                        logged.complete(null);
                    }
                });
        // Port 1 of the loopback address has no listener.
        vertx.runOnContext(ignored -> start(1, vertx.createHttpClient()));
        logged.get(WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(log.codes(), not(hasItem(EventCode.INTERNAL_ERROR)));
    }

    private void start(int port, HttpClient client) {
        start(port, client, Map.of(vm("vm-2", HOST), 100L));
    }

    /** Hears VMs at the given revisions and copies from them. */
    private void start(int port, HttpClient client, Map<MemberInfo, Long> revisions) {
        LongSupplier clock = () -> System.nanoTime() / 1_000_000;
        FleetView fleet = new FleetView(vm("vm-1", HOST), FleetTiming.DEFAULT, 2);
        PublishedState state =
                new PublishedState(
                        new NoValues(),
                        new UpstreamPool(Map.of()),
                        (code, values) -> {},
                        errors,
                        clock,
                        publication -> {});
        StoreSync sync =
                new StoreSync(
                        vertx,
                        source,
                        state,
                        (code, values) -> {},
                        errors,
                        clock,
                        () -> false,
                        () -> true);
        if (readsStore) {
            sync.start();
        }
        StoreCopier copier =
                new StoreCopier(fleet, state, sync, client, log, clock, port, () -> false);
        long[] sequence = new long[1];
        vertx.setPeriodic(
                HEARTBEAT_MILLIS,
                ignored -> {
                    sequence[0]++;
                    revisions.forEach(
                            (vm, revision) ->
                                    fleet.receive(
                                            FleetReport.builder(vm, sequence[0])
                                                    .store(new StorePosition(1, revision), true)
                                                    .build(),
                                            clock.getAsLong()));
                    copier.copyIfBehind();
                });
    }

    private void answerByteByByte(HttpServerRequest request) {
        copies.countDown();
        request.response().setChunked(true);
        long timer =
                vertx.setPeriodic(BYTE_INTERVAL_MILLIS, ignored -> request.response().write(" "));
        request.response().exceptionHandler(ignored -> vertx.cancelTimer(timer));
        request.response().closeHandler(ignored -> vertx.cancelTimer(timer));
    }

    private static MemberInfo vm(String name, String host) {
        return new MemberInfo(
                name,
                host,
                new RegionId("west"),
                new ZoneId("west-a"),
                MemberInfo.ONE_CORE,
                1,
                MemberState.READY);
    }
}
