package io.vanillapoint.core.upstream;

import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.fleet.FleetReport;
import io.vanillapoint.core.fleet.SimulatedFleet;
import io.vanillapoint.core.fleet.UpstreamSignals;
import io.vanillapoint.core.fleet.UpstreamUse;
import io.vanillapoint.core.prompt.SessionLocations;
import io.vanillapoint.core.published.EngineSpec;
import io.vanillapoint.core.published.GatewayPublication;
import io.vanillapoint.core.published.ReplicaState;
import io.vanillapoint.core.published.RouteKind;
import io.vanillapoint.core.published.RouteSpec;
import io.vanillapoint.core.published.ServiceShare;
import io.vanillapoint.core.published.ServiceSpec;
import io.vanillapoint.core.published.TrafficLimits;
import io.vanillapoint.core.published.UpstreamReplica;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * VMs of one region and replicas that fail some of their requests at once, in virtual time. Each VM
 * sends each replica a request every few seconds. Placement, heartbeats and membership are the
 * production code. Confined to one thread.
 */
final class FailingFleet implements SimulatedFleet.Listener {
    static final int VMS = 88;
    static final int REPLICAS = 44;

    /** Requests of a VM in a second: one to each replica every four seconds. */
    private static final double PER_VM_SECOND = 11;

    private static final int SLOTS = 16;
    private static final long FAILURE_MILLIS = 5;
    private static final int MIN_RUN_MILLIS = 200;
    private static final int RUN_SPREAD_MILLIS = 200;
    private static final ZoneId ZONE = new ZoneId("z0");
    private static final ServiceSpec SERVICE = new ServiceSpec("s", 100, 0, 0, Optional.empty());
    private static final RouteSpec ROUTE = route("r", RouteKind.IDEMPOTENT, 0, SERVICE.name(), 600);

    private final Random random;
    private final boolean loadAware;
    private final double[] failureRates = new double[REPLICAS];
    private final SimulatedFleet fleet;
    private final Map<SimulatedFleet.Node, Vm> vms = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private boolean heartbeatsLost;
    private long heartbeatDelayMillis;
    private int[] sent = new int[REPLICAS];
    private int failed;
    private int nextOrder;

    FailingFleet(int seed, boolean loadAware) {
        random = new Random(seed);
        this.loadAware = loadAware;
        fleet = new SimulatedFleet(random, new int[] {VMS}, this);
    }

    /** Sets the part of their requests that the first replicas fail, and that of all others. */
    void fail(int replicas, double rate, double usualRate) {
        Arrays.fill(failureRates, usualRate);
        Arrays.fill(failureRates, 0, replicas, rate);
    }

    /** Loses what heartbeats report of replicas, or ends this. */
    void loseSignals(boolean lost) {
        heartbeatsLost = lost;
    }

    /** Delays what heartbeats report of replicas. */
    void delaySignals(long millis) {
        heartbeatDelayMillis = millis;
    }

    /** Ends the processes of the first VMs, which start again after 0.5 s. */
    void restart(int count) {
        fleet.nodes().stream().limit(count).forEach(node -> node.kill(500));
    }

    /** Lets VMs receive requests for a while and counts where they go. */
    Counts run(long millis) {
        sent = new int[REPLICAS];
        failed = 0;
        double perStep = PER_VM_SECOND * SimulatedFleet.STEP_MILLIS / 1_000;
        long end = fleet.now() + millis;
        while (fleet.now() < end) {
            fleet.step();
            while (!events.isEmpty() && events.peek().at <= fleet.now()) {
                events.poll().action.run();
            }
            for (SimulatedFleet.Node node : fleet.nodes()) {
                if (node.up() && random.nextDouble() < perStep) {
                    place(vms.get(node));
                }
            }
        }
        return new Counts(sent, failed);
    }

    @Override
    public void started(SimulatedFleet.Node node) {
        vms.put(node, new Vm(node));
    }

    @Override
    public Map<String, UpstreamUse> upstreams(SimulatedFleet.Node node) {
        return vms.get(node).pool.outstandingByReplica();
    }

    @Override
    public Map<String, UpstreamSignals> signals(SimulatedFleet.Node node) {
        return vms.get(node).pool.signals(fleet.now());
    }

    @Override
    public int load(SimulatedFleet.Node node) {
        return (int) (10 * PER_VM_SECOND);
    }

    @Override
    public void received(SimulatedFleet.Node node, FleetReport report) {
        if (heartbeatsLost) {
            return;
        }
        UpstreamPool pool = vms.get(node).pool;
        schedule(heartbeatDelayMillis, () -> pool.mergeSignals(report, fleet.now()));
    }

    private void place(Vm vm) {
        PlacementQuery query =
                new PlacementQuery(
                        ROUTE,
                        SERVICE,
                        Optional.empty(),
                        3_000,
                        region -> true,
                        Set.of(),
                        true,
                        0,
                        5_000);
        if (vm.chooser.choose(query, fleet.now()) instanceof Placement.Local local) {
            send(local);
        }
    }

    private void send(Placement.Local local) {
        ReplicaTracker replica = local.replica();
        int index = Integer.parseInt(replica.info().id().substring(2));
        long sentAt = fleet.now();
        sent[index]++;
        AwaitedResponse response =
                replica.awaitResponse(local.expectedMillis(), OptionalInt.empty(), sentAt);
        replica.dispatched(0, null, sentAt);
        boolean failure = random.nextDouble() < failureRates[index];
        failed += failure ? 1 : 0;
        long millis = failure ? FAILURE_MILLIS : MIN_RUN_MILLIS + random.nextInt(RUN_SPREAD_MILLIS);
        schedule(
                millis,
                () -> {
                    long now = fleet.now();
                    response.answered(now);
                    replica.recordReceived(sentAt, now);
                    replica.recordOutcome(failure);
                    if (loadAware) {
                        replica.recordEvidence(failure, sentAt, now);
                    }
                    replica.finished();
                });
    }

    private void schedule(long delay, Runnable action) {
        events.add(new Event(fleet.now() + delay, nextOrder++, action));
    }

    private static RouteSpec route(
            String name, RouteKind kind, int priority, String service, int targetMillis) {
        return new RouteSpec(
                name,
                "h",
                "/" + name + "/",
                kind,
                5_000,
                targetMillis,
                300,
                priority,
                List.of(new ServiceShare(service, 1)),
                1,
                false,
                false,
                false,
                Set.of());
    }

    /** A configuration whose routes may be deferred, which activates load-aware placement. */
    static GatewayPublication loadAwareConfiguration() {
        EngineSpec engine = new EngineSpec(SLOTS, 200_000, false);
        return new GatewayPublication(
                1,
                List.of(
                        route("long", RouteKind.EVENT_STREAM, 2, "model", 2_000),
                        route("short", RouteKind.EVENT_STREAM, 0, "model", 500)),
                List.of(new ServiceSpec("model", 100, 0, 0, Optional.of(engine)), SERVICE),
                List.of(),
                TrafficLimits.DEFAULT);
    }

    /**
     * What happened in a period.
     *
     * @param sent requests by replica
     * @param failed requests that failed
     */
    record Counts(int[] sent, int failed) {
        /** Mean requests of the first replicas, relative to the mean of all. */
        double shareOfFirst(int replicas) {
            double first = Arrays.stream(sent).limit(replicas).average().orElseThrow();
            return first / mean();
        }

        /** Requests of the least and of the most used replica, relative to the mean. */
        double least() {
            return Arrays.stream(sent).min().orElseThrow() / mean();
        }

        double most() {
            return Arrays.stream(sent).max().orElseThrow() / mean();
        }

        int total() {
            return Arrays.stream(sent).sum();
        }

        private double mean() {
            return Arrays.stream(sent).average().orElseThrow();
        }
    }

    private record Event(long at, int order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at
                    ? Long.compare(at, other.at)
                    : Integer.compare(order, other.order);
        }
    }

    /** Decisions of one VM. */
    private final class Vm {
        private final UpstreamPool pool = new UpstreamPool(Map.of(ZONE, new RegionId("r0")));
        private final ReplicaChooser chooser;

        Vm(SimulatedFleet.Node node) {
            List<String> ids = new ArrayList<>();
            for (int i = 0; i < REPLICAS; i++) {
                ids.add("i-" + i);
            }
            for (String id : ids) {
                UpstreamReplica info =
                        new UpstreamReplica(
                                id,
                                SERVICE.name(),
                                new Endpoint("10.0.0.1", 80),
                                ZONE,
                                SLOTS,
                                ReplicaState.READY,
                                0,
                                1,
                                Set.of());
                pool.publish(info, Optional.of(SERVICE), node.startedAt());
            }
            if (loadAware) {
                pool.loadAwareness().configure(loadAwareConfiguration());
            }
            chooser =
                    new ReplicaChooser(
                            pool,
                            node.view(),
                            node.roster(),
                            PlacementWeights.DEFAULT,
                            new SessionLocations());
        }
    }
}
