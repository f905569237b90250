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
import io.vanillapoint.core.fleet.MemberObservation;
import io.vanillapoint.core.fleet.MemberState;
import io.vanillapoint.core.fleet.ReportPager;
import io.vanillapoint.core.quarantine.QuarantineReport;
import io.vanillapoint.entry.log.EntryMetrics;
import io.vanillapoint.entry.log.UnexpectedErrors;
import io.vanillapoint.entry.traffic.RecordingLog;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Sends heartbeats over real UDP sockets. */
class FleetLinkTest {
    private static final int REPORTS = 5;
    private static final int PORT = 17_641;
    private static final int VMS = 370;
    private static final String RECEIVER = "127.0.31.1";
    private static final String SENDER = "127.0.31.2";

    private final Vertx vertx = Vertx.vertx();
    private final RecordingLog log = new RecordingLog();
    private Runnable onHeartbeat = () -> {};
    private Consumer<FleetReport> reportListener = report -> {};

    @AfterEach
    void close() throws Exception {
        vertx.close().await(10, TimeUnit.SECONDS);
    }

    @Test
    void largestReportOfALargeFleetArrivesComplete() throws Exception {
        Promise<FleetReport> received = Promise.promise();
        start(RECEIVER, new ArrayList<>(), received);
        start(SENDER, List.of(RECEIVER), Promise.promise());
        FleetReport report = received.future().await(10, TimeUnit.SECONDS);
        assertThat(report.self().host(), is(SENDER));
        assertThat("VMs listed", report.others().size() > 8, is(true));
        assertThat(log.codes(), not(hasItem(EventCode.PEER_BAD_FRAME)));
    }

    @Test
    void invalidDatagramsAreLoggedAndIgnored() throws Exception {
        Promise<FleetReport> received = Promise.promise();
        start(RECEIVER, new ArrayList<>(), received);
        DatagramSocket socket = vertx.createDatagramSocket();
        Random random = new Random(5);
        for (int i = 0; i < 500; i++) {
            byte[] bytes = new byte[random.nextInt(1_400)];
            random.nextBytes(bytes);
            socket.send(Buffer.buffer(bytes), PORT, RECEIVER).await(10, TimeUnit.SECONDS);
        }
        start(SENDER, List.of(RECEIVER), Promise.promise());
        FleetReport report = received.future().await(10, TimeUnit.SECONDS);
        assertThat(report.self().host(), is(SENDER));
        assertThat(log.codes(), hasItem(EventCode.PEER_BAD_FRAME));
    }

    @Test
    void heartbeatsGoOnAfterAnErrorInFollowingOtherVms() throws Exception {
        Promise<FleetReport> received = Promise.promise();
        AtomicInteger reports = new AtomicInteger();
        onHeartbeat =
                () -> {
                    throw new StackOverflowError();
                };
        start(SENDER, List.of(RECEIVER), Promise.promise());
        onHeartbeat = () -> {};
        reportListener =
                report -> {
                    if (reports.incrementAndGet() == REPORTS) {
                        received.complete(report);
                    }
                };
        start(RECEIVER, List.of(), Promise.promise());
        assertThat(received.future().await(10, TimeUnit.SECONDS).self().host(), is(SENDER));
        assertThat(log.codes(), hasItem(EventCode.INTERNAL_ERROR));
    }

    @Test
    void heartbeatThatMeetsAnErrorIsLogged() throws Exception {
        reportListener =
                report -> {
                    throw new OutOfMemoryError("heap");
                };
        CompletableFuture<Void> logged = new CompletableFuture<>();
        log.onRecord(
                code -> {
                    if (code == EventCode.INTERNAL_ERROR) {
                        logged.complete(null);
                    }
                });
        start(RECEIVER, List.of(), Promise.promise());
        start(SENDER, List.of(RECEIVER), Promise.promise());
        logged.get(10, TimeUnit.SECONDS);
    }

    private void start(String host, List<String> seeds, Promise<FleetReport> received)
            throws Exception {
        Runnable heartbeat = onHeartbeat;
        Consumer<FleetReport> listener = reportListener;
        FleetView fleet = new FleetView(vm(host), FleetTiming.DEFAULT, 6);
        ReportPager pager = new ReportPager(1);
        ReportSource reports =
                kind -> {
                    FleetReport.Builder report = fleet.nextReport(0);
                    ReportPager.Content all =
                            new ReportPager.Content(
                                    Map.of(),
                                    Map.of(),
                                    List.of(),
                                    others(),
                                    QuarantineReport.EMPTY,
                                    Set.of(),
                                    Map.of(),
                                    Map.of(),
                                    Map.of());
                    pager.fill(report, fleet.self(), all, kind.maxMembers());
                    return report.build();
                };
        Promise<Void> started = Promise.promise();
        vertx.runOnContext(
                ignored ->
                        new FleetLink(
                                        vertx,
                                        fleet,
                                        FleetTiming.DEFAULT,
                                        log,
                                        new UnexpectedErrors(log, new EntryMetrics()),
                                        () -> System.nanoTime() / 1_000_000,
                                        PORT,
                                        reports,
                                        report -> {
                                            received.tryComplete(report);
                                            listener.accept(report);
                                        },
                                        heartbeat)
                                .start(seeds)
                                .onComplete(started));
        started.future().await(10, TimeUnit.SECONDS);
    }

    private static List<MemberObservation> others() {
        List<MemberObservation> others = new ArrayList<>();
        for (int i = 0; i < VMS; i++) {
            others.add(new MemberObservation(vm("10.0." + i / 200 + "." + i % 200), 1_000));
        }
        return others;
    }

    private static MemberInfo vm(String host) {
        return new MemberInfo(
                "front-plovdiv-b-" + host,
                host,
                new RegionId("plovdiv"),
                new ZoneId("plovdiv-b"),
                MemberInfo.ONE_CORE,
                System.currentTimeMillis(),
                MemberState.READY);
    }
}
