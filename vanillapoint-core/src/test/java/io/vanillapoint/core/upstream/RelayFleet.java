package io.vanillapoint.core.upstream;

import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.fleet.SimulatedFleet;
import io.vanillapoint.core.fleet.UpstreamUse;
import io.vanillapoint.core.prompt.PromptPart;
import io.vanillapoint.core.prompt.PromptSummary;
import io.vanillapoint.core.prompt.SessionLocations;
import io.vanillapoint.core.published.EngineSpec;
import io.vanillapoint.core.published.ReplicaState;
import io.vanillapoint.core.published.RouteKind;
import io.vanillapoint.core.published.RouteSpec;
import io.vanillapoint.core.published.ServiceShare;
import io.vanillapoint.core.published.ServiceSpec;
import io.vanillapoint.core.published.UpstreamReplica;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * Simulates requests at the VMs of three regions in virtual time, with engines that no VM can
 * reach, and VMs that can reach no engine. Placement, probes and membership are the production
 * code.
 */
final class RelayFleet implements SimulatedFleet.Listener {
    static final int REGIONS = 3;
    static final int VMS_PER_REGION = 3;
    static final int ENGINES_PER_REGION = 4;
    static final int SLOTS = 24;

    private static final long RESPONSE_MILLIS = 600;
    private static final long FIRST_EVENT_MILLIS = 60;
    private static final long CONNECT_TIMEOUT_MILLIS = 400;
    private static final long RESET_MILLIS = 2;
    private static final long PROBE_CHECK_MILLIS = 60;
    private static final long PROBE_ROUND_TRIP_MILLIS = 2;
    private static final long REGION_DELAY_MILLIS = 1;
    private static final long OTHER_REGION_DELAY_MILLIS = 56;

    /** Events of a running response are further apart than this only if it has stalled. */
    private static final long EVENT_INTERVAL_MILLIS = 100;

    private static final long PATIENCE_MILLIS = 4_000;
    private static final ServiceSpec SERVICE =
            new ServiceSpec(
                    "engines", 100, 0, 0, Optional.of(new EngineSpec(SLOTS, 360_000, false)));
    private static final RouteSpec ROUTE =
            new RouteSpec(
                    "r",
                    "h",
                    "/",
                    RouteKind.EVENT_STREAM,
                    4_000,
                    400,
                    300,
                    1,
                    List.of(new ServiceShare("engines", 1)),
                    2,
                    false,
                    true,
                    false,
                    Set.of());

    private final Random random;
    private final SimulatedFleet fleet;
    private final Map<SimulatedFleet.Node, Vm> vms = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<String, Integer> running = new TreeMap<>();
    private final Set<String> downEngines = new HashSet<>();
    private final Set<String> reportedUnreachable = new HashSet<>();
    private final Set<Integer> oldBuildVms = new HashSet<>();
    private final Map<Integer, PathLoss> cutOffVms = new HashMap<>();
    private boolean boundToRegions;
    private final Counts counts = new Counts();
    private int nextOrder;
    private int nextSession;

    RelayFleet(int seed) {
        random = new Random(seed);
        for (int region = 0; region < REGIONS; region++) {
            for (int i = 0; i < ENGINES_PER_REGION; i++) {
                running.put(engine(region, i), 0);
            }
        }
        int[] vmsByRegion = {VMS_PER_REGION, VMS_PER_REGION, VMS_PER_REGION};
        fleet = new SimulatedFleet(random, vmsByRegion, this);
    }

    static String engine(int region, int index) {
        return "engine-" + region + "-" + index;
    }

    static Set<String> engines(int region) {
        Set<String> engines = new HashSet<>();
        for (int i = 0; i < ENGINES_PER_REGION; i++) {
            engines.add(engine(region, i));
        }
        return engines;
    }

    static RegionId region(int index) {
        return new RegionId("r" + index);
    }

    Counts counts() {
        return counts;
    }

    /** Makes engines unreachable for all VMs. */
    void takeDown(Set<String> engines) {
        downEngines.addAll(engines);
    }

    /** Lets VMs report engines of their region as unreachable, beside what they observe. */
    void reportUnreachable(Set<String> engines) {
        if (engines.isEmpty()) {
            reportedUnreachable.clear();
        }
        reportedUnreachable.addAll(engines);
    }

    /** Cuts VMs off from all engines. */
    void cutOff(Set<Integer> indexes, PathLoss loss) {
        indexes.forEach(index -> cutOffVms.put(index, loss));
    }

    /** Restores the paths of all VMs. */
    void restorePaths() {
        cutOffVms.clear();
    }

    /** Lets requests be processed only in the region of the VM that receives them. */
    void bindRequestsToRegions() {
        boundToRegions = true;
    }

    /** Addresses that the directory of a VM gives to callers of its region. */
    List<String> callerVms(int index) {
        SimulatedFleet.Node node = fleet.nodes().get(index);
        Vm vm = vms.get(node);
        return new CallerVms(node.view(), vm.pool)
                .select(region(node.region()), Set.of(), false, fleet.now()).stream()
                        .map(MemberInfo::vm)
                        .toList();
    }

    /** Lets VMs run a build that doesn't report unreachable replicas. */
    void runOldBuildOn(Set<Integer> indexes) {
        oldBuildVms.addAll(indexes);
    }

    Set<String> randomHalf() {
        List<String> engines = new ArrayList<>(running.keySet());
        Collections.shuffle(engines, random);
        return new HashSet<>(engines.subList(0, engines.size() / 2));
    }

    /** Lets VMs receive requests at a rate for the whole fleet. */
    void run(long millis, double requestsPerSecond) {
        double perVmStep =
                requestsPerSecond * SimulatedFleet.STEP_MILLIS / 1_000 / (REGIONS * VMS_PER_REGION);
        long end = fleet.now() + millis;
        while (fleet.now() < end) {
            fleet.step();
            while (!events.isEmpty() && events.peek().at <= fleet.now()) {
                events.poll().action.run();
            }
            if (fleet.now() % PROBE_CHECK_MILLIS == 0) {
                vms.values().forEach(Vm::probe);
            }
            for (SimulatedFleet.Node node : fleet.nodes()) {
                if (node.up() && random.nextDouble() < perVmStep) {
                    counts.requests.merge(node.index(), 1, Integer::sum);
                    new Request(vms.get(node)).place();
                }
            }
        }
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
    public Set<String> unreachable(SimulatedFleet.Node node) {
        UpstreamPool pool = vms.get(node).pool;
        RegionId region = node.view().self().region();
        Set<String> ids = pool.unreachable(region, fleet.now());
        reportedUnreachable.stream()
                .filter(id -> pool.replica(id).orElseThrow().region().equals(region))
                .forEach(ids::add);
        return ids;
    }

    @Override
    public boolean reportsReach(SimulatedFleet.Node node) {
        return !oldBuildVms.contains(node.index());
    }

    private boolean reaches(Vm vm, String engine) {
        return !downEngines.contains(engine) && !cutOffVms.containsKey(vm.node.index());
    }

    /** Time after which a connection to an engine that can't be reached fails. */
    private long connectFailureMillis(Vm vm) {
        PathLoss loss = cutOffVms.getOrDefault(vm.node.index(), PathLoss.HANGS);
        return loss == PathLoss.HANGS ? CONNECT_TIMEOUT_MILLIS : RESET_MILLIS;
    }

    private boolean openConnectionsLive(Vm vm) {
        PathLoss loss = cutOffVms.get(vm.node.index());
        return loss == null || loss == PathLoss.NEW_CONNECTIONS_REFUSED;
    }

    private boolean anyRoom() {
        return running.entrySet().stream()
                .anyMatch(
                        engine ->
                                !downEngines.contains(engine.getKey())
                                        && engine.getValue() < SLOTS);
    }

    private void schedule(long delay, Runnable action) {
        events.add(new Event(fleet.now() + delay, nextOrder++, action));
    }

    /** What happens to the connections of a VM that loses its paths to all engines. */
    enum PathLoss {
        /** New connections are not answered and open ones fall silent. */
        HANGS,
        /** New and open connections are reset. */
        RESETS,
        /** Open connections live on while new ones are reset. */
        NEW_CONNECTIONS_REFUSED
    }

    /** What happened to requests, by VM that received them. */
    static final class Counts {
        final Map<Integer, Integer> requests = new HashMap<>();
        final Map<Integer, Integer> refusedByVm = new HashMap<>();
        final Map<Integer, Integer> regionRelaysByVm = new HashMap<>();
        final Set<RefusalReason> reasons = EnumSet.noneOf(RefusalReason.class);
        int refused;

        /** Requests sent to an engine that could not be reached. */
        int failedConnections;

        /** Refused without any attempt although a reachable engine had a free slot. */
        int refusedWithRoom;

        int relays;
        int relaysNotPlaced;

        int totalRequests() {
            return requests.values().stream().mapToInt(Integer::intValue).sum();
        }

        void reset() {
            requests.clear();
            refusedByVm.clear();
            regionRelaysByVm.clear();
            reasons.clear();
            refused = 0;
            failedConnections = 0;
            refusedWithRoom = 0;
            relays = 0;
            relaysNotPlaced = 0;
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
    final class Vm {
        final SimulatedFleet.Node node;
        final UpstreamPool pool;
        final ReplicaChooser chooser;
        private final ProbePlan probes;

        private Vm(SimulatedFleet.Node node) {
            this.node = node;
            Map<ZoneId, RegionId> zones = new HashMap<>();
            for (int region = 0; region < REGIONS; region++) {
                zones.put(new ZoneId("z" + region), region(region));
            }
            pool = new UpstreamPool(zones);
            for (int region = 0; region < REGIONS; region++) {
                for (int i = 0; i < ENGINES_PER_REGION; i++) {
                    UpstreamReplica replica =
                            new UpstreamReplica(
                                    engine(region, i),
                                    "engines",
                                    new Endpoint("10.0.0.1", 80),
                                    new ZoneId("z" + region),
                                    SLOTS,
                                    ReplicaState.READY,
                                    0,
                                    1,
                                    Set.of());
                    pool.publish(replica, Optional.of(SERVICE), node.startedAt());
                }
            }
            chooser =
                    new ReplicaChooser(
                            pool,
                            node.view(),
                            node.roster(),
                            PlacementWeights.DEFAULT,
                            new SessionLocations());
            probes = new ProbePlan(pool, node.index(), node.startedAt());
        }

        private void probe() {
            for (ReplicaTracker replica : probes.start(fleet.now())) {
                if (reaches(this, replica.info().id())) {
                    schedule(PROBE_ROUND_TRIP_MILLIS, () -> replica.probeAnswered(1, fleet.now()));
                } else {
                    schedule(
                            connectFailureMillis(this),
                            () -> replica.probeUnreachable(fleet.now()));
                }
            }
        }
    }

    /** A request with its retries. */
    private final class Request {
        private final Vm receiver;
        private final long receivedAt = fleet.now();
        private final Set<RegionId> fullRegions = new HashSet<>();
        private final Set<String> tried = new HashSet<>();
        private final PromptSummary prompt =
                new PromptSummary(
                        "m", List.of(new PromptPart("session-" + nextSession++, 800)), 800, 50);

        Request(Vm receiver) {
            this.receiver = receiver;
        }

        void place() {
            Placement placement = choose(receiver, tried, true);
            if (placement instanceof Placement.Local local) {
                send(receiver, local, tried, this::place);
            } else if (placement instanceof Placement.Relay relay) {
                relay(relay);
            } else if (placement instanceof Placement.Refuse refuse) {
                counts.reasons.add(refuse.reason());
                counts.refusedByVm.merge(receiver.node.index(), 1, Integer::sum);
                counts.refused++;
                counts.refusedWithRoom += tried.isEmpty() && anyRoom() ? 1 : 0;
            }
        }

        private Placement choose(Vm vm, Set<String> tried, boolean mayRelay) {
            long elapsed = fleet.now() - receivedAt;
            PlacementQuery query =
                    new PlacementQuery(
                            ROUTE,
                            SERVICE,
                            Optional.of(prompt),
                            3_000,
                            region ->
                                    (!mayRelay || !fullRegions.contains(region))
                                            && (!boundToRegions || region.equals(home())),
                            tried,
                            mayRelay,
                            mayRelay ? elapsed : 0,
                            PATIENCE_MILLIS - elapsed);
            return vm.chooser.choose(query, fleet.now());
        }

        private RegionId home() {
            return receiver.node.view().self().region();
        }

        private void relay(Placement.Relay relay) {
            boolean sameRegion = relay.region().equals(home());
            long delay = sameRegion ? REGION_DELAY_MILLIS : OTHER_REGION_DELAY_MILLIS;
            List<MemberInfo> targets = relay.vm().map(List::of).orElseGet(() -> relayVms(relay));
            MemberInfo target = targets.get(random.nextInt(targets.size()));
            counts.relays++;
            if (sameRegion) {
                counts.regionRelaysByVm.merge(receiver.node.index(), 1, Integer::sum);
            }
            receiver.chooser.relayed(SERVICE.name(), target.region(), target.vm(), fleet.now());
            Set<String> triedThere = new HashSet<>();
            schedule(delay, () -> placeRelayed(relay.region(), target, triedThere, delay));
        }

        private List<MemberInfo> relayVms(Placement.Relay relay) {
            return receiver.node
                    .view()
                    .reach()
                    .relayVms(relay.region(), relay.replicas(), fleet.now());
        }

        private void placeRelayed(
                RegionId region, MemberInfo target, Set<String> triedThere, long delay) {
            Vm vm =
                    vms.values().stream()
                            .filter(other -> other.node.view().self().vm().equals(target.vm()))
                            .findFirst()
                            .orElseThrow();
            if (choose(vm, triedThere, false) instanceof Placement.Local local) {
                send(vm, local, triedThere, () -> placeRelayed(region, target, triedThere, delay));
            } else {
                counts.relaysNotPlaced++;
                schedule(delay, () -> notPlaced(region, target));
            }
        }

        private void notPlaced(RegionId region, MemberInfo target) {
            if (region.equals(home())) {
                tried.add(target.vm());
            } else {
                fullRegions.add(region);
            }
            receiver.chooser.relayNotPlaced(SERVICE.name(), region, target.vm(), fleet.now());
            place();
        }

        private void send(Vm vm, Placement.Local local, Set<String> tried, Runnable again) {
            ReplicaTracker replica = local.replica();
            String id = replica.info().id();
            replica.dispatched(local.uncachedTokens(), prompt, fleet.now());
            tried.add(id);
            long sentAt = fleet.now();
            if (!reaches(vm, id)) {
                counts.failedConnections++;
                schedule(
                        connectFailureMillis(vm),
                        () -> {
                            replica.recordPromptProcessed(local.uncachedTokens());
                            replica.finished();
                            replica.connectionFailed(sentAt, fleet.now());
                            again.run();
                        });
                return;
            }
            int count = running.merge(id, 1, Integer::sum);
            long millis = RESPONSE_MILLIS * Math.max(SLOTS, count) / SLOTS;
            schedule(
                    FIRST_EVENT_MILLIS,
                    () -> replica.recordPromptProcessed(local.uncachedTokens()));
            for (long event = FIRST_EVENT_MILLIS; event < millis; event += EVENT_INTERVAL_MILLIS) {
                schedule(
                        event,
                        () -> {
                            if (openConnectionsLive(vm)) {
                                replica.recordReceived(sentAt, fleet.now());
                            }
                        });
            }
            schedule(
                    millis,
                    () -> {
                        running.merge(id, -1, Integer::sum);
                        replica.finished();
                    });
        }
    }
}
