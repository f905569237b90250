package io.vanillapoint.entry.control;

import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventSink;
import io.vanillapoint.core.fleet.FleetReport;
import io.vanillapoint.core.fleet.FleetTiming;
import io.vanillapoint.core.fleet.FleetView;
import io.vanillapoint.core.fleet.HeartbeatPlan;
import io.vanillapoint.core.fleet.Member;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.fleet.MemberState;
import io.vanillapoint.core.fleet.ReportKind;
import io.vanillapoint.entry.log.UnexpectedErrors;
import io.vanillapoint.wire.FleetCodec;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Sends and receives heartbeats between VMs as UDP datagrams, so that a stalled connection cannot
 * hold them up. Confined to one event loop.
 */
final class FleetLink {
    /**
     * Heartbeat rounds between two greetings to the seeds. Greetings carry other members, so that
     * the parts of a partitioned fleet find each other again within seconds.
     */
    private static final int ROUNDS_PER_GREETING = 12;

    /**
     * Number of VMs after which the greeting interval grows by another {@link
     * #ROUNDS_PER_GREETING}, since more VMs send greetings in a larger fleet.
     */
    private static final int VMS_PER_GREETING_STEP = 16;

    private final Vertx vertx;
    private final FleetView fleet;
    private final FleetTiming timing;
    private final HeartbeatPlan plan;
    private final FleetCodec codec = new FleetCodec();
    private final EventSink log;
    private final UnexpectedErrors errors;
    private final LongSupplier clock;
    private final int port;
    private final ReportSource reportSource;
    private final Consumer<FleetReport> reportListener;
    private final Runnable onHeartbeat;
    private final Map<String, MemberState> loggedStates = new HashMap<>();
    private final Set<String> suspected = new HashSet<>();
    private List<String> seeds;
    private DatagramSocket socket;
    private int heartbeatRounds;

    FleetLink(
            Vertx vertx,
            FleetView fleet,
            FleetTiming timing,
            EventSink log,
            UnexpectedErrors errors,
            LongSupplier clock,
            int port,
            ReportSource reportSource,
            Consumer<FleetReport> reportListener,
            Runnable onHeartbeat) {
        this.vertx = vertx;
        this.fleet = fleet;
        this.timing = timing;
        plan = new HeartbeatPlan(timing);
        this.log = log;
        this.errors = errors;
        this.clock = clock;
        this.port = port;
        this.reportSource = reportSource;
        this.reportListener = reportListener;
        this.onHeartbeat = onHeartbeat;
        this.seeds = List.of();
    }

    Future<Void> start(List<String> firstSeeds) {
        seeds = firstSeeds;
        socket = vertx.createDatagramSocket();
        socket.handler(this::receive);
        return socket.listen(port, fleet.self().host())
                .map(
                        bound -> {
                            vertx.setPeriodic(
                                    timing.regionIntervalMillis(), ignored -> sendHeartbeats());
                            sendToAll();
                            return null;
                        });
    }

    void seeds(List<String> newSeeds) {
        seeds = newSeeds;
    }

    /** Sends a heartbeat to all members and seeds, because this VM's state has changed. */
    void sendToAll() {
        ReportKind kind = fleet.members().isEmpty() ? ReportKind.GREETING : ReportKind.ANNOUNCEMENT;
        Buffer datagram = datagram(kind);
        Set<String> hosts = new HashSet<>(seeds);
        fleet.members().forEach(member -> hosts.add(member.info().host()));
        hosts.remove(fleet.self().host());
        hosts.forEach(host -> send(datagram, host));
    }

    private void sendHeartbeats() {
        long now = clock.getAsLong();
        fleet.prune(now);
        logSuspects(now);
        errors.contain("following other VMs", onHeartbeat);
        if (fleet.members().isEmpty()) {
            sendToAll();
            return;
        }
        boolean greetSeeds = ++heartbeatRounds % roundsPerGreeting() == 0;
        FleetReport report = reportSource.next(ReportKind.BEAT);
        Buffer datagram = Buffer.buffer(codec.encode(report));
        HeartbeatPlan.Round round = plan.next(fleet, now);
        round.sameRegion().forEach(host -> send(datagram, host));
        if (!round.others().isEmpty()) {
            Buffer toOthers =
                    round.othersInSeveralRounds() && !report.reads().isEmpty()
                            ? Buffer.buffer(codec.encode(report.withoutReads()))
                            : datagram;
            round.others().forEach(host -> send(toOthers, host));
        }
        if (greetSeeds) {
            Buffer greeting = datagram(ReportKind.GREETING);
            seeds.stream()
                    .filter(seed -> !seed.equals(fleet.self().host()))
                    .forEach(seed -> send(greeting, seed));
        }
    }

    private int roundsPerGreeting() {
        return ROUNDS_PER_GREETING * (1 + fleet.members().size() / VMS_PER_GREETING_STEP);
    }

    private Buffer datagram(ReportKind kind) {
        return Buffer.buffer(codec.encode(reportSource.next(kind)));
    }

    private void send(Buffer datagram, String host) {
        socket.send(datagram, port, host)
                .onFailure(
                        error ->
                                log.record(
                                        EventCode.INTERNAL_ERROR,
                                        "sending heartbeat to " + host,
                                        error));
    }

    private void receive(DatagramPacket packet) {
        try {
            FleetReport report = codec.decodeReport(packet.data().getBytes());
            boolean firstContact = !fleet.knows(report.self().vm());
            reportListener.accept(report);
            logState(report.self());
            if (firstContact && report.fleetSize() < fleet.knownVms()) {
                send(datagram(ReportKind.GREETING), report.self().host());
            }
        } catch (VanillapointException e) {
            log.record(EventCode.PEER_BAD_FRAME, packet.sender(), e.getMessage());
        } catch (Throwable e) {
            errors.record("handling a heartbeat of " + packet.sender(), e);
        }
    }

    private void logState(MemberInfo info) {
        boolean recovered = suspected.remove(info.vm());
        if (!fleet.knows(info.vm())) {
            return;
        }
        MemberState previous = loggedStates.put(info.vm(), info.state());
        if (previous != info.state() || recovered) {
            log.record(EventCode.MEMBER_CHANGED, info.vm(), info.state(), info.incarnation());
        }
    }

    private void logSuspects(long now) {
        if (loggedStates.size() > fleet.members().size()) {
            loggedStates.keySet().removeIf(vm -> !fleet.knows(vm));
            suspected.removeIf(vm -> !fleet.knows(vm));
        }
        for (Member member : fleet.members()) {
            if (!fleet.alive(member, now) && suspected.add(member.info().vm())) {
                long silentMillis = now - member.heardAtMillis();
                log.record(EventCode.MEMBER_SUSPECTED, member.info().vm(), silentMillis);
            }
        }
    }
}
