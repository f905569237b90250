package io.vanillapoint.core.upstream;

import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.fleet.FleetReport;
import io.vanillapoint.core.fleet.SilenceCounts;
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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * VMs of one region and replicas that hang some of their requests or pause, in virtual time.
 * Requests may not be repeated, and callers leave after a while. Placement and membership are the
 * production code.
 */
final class HangingFleet implements SimulatedFleet.Listener {
    static final int REPLICAS = 8;

    private static final int VMS = 6;
    private static final double HANGING_PART = 0.3;
    private static final long PATIENCE_MILLIS = 2_500;
    private static final long CHECK_INTERVAL_MILLIS = 160;
    private static final ZoneId ZONE = new ZoneId("z0");

    private final Random random;
    private final Workload workload;
    private final SimulatedFleet fleet;
    private final Map<SimulatedFleet.Node, Vm> vms = new HashMap<>();
    private final List<Replica> replicas = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private Counts counts = new Counts();
    private int slowdown = 1;
    private int nextOrder;
    private int nextRequest;

    HangingFleet(int seed, Workload workload) {
        random = new Random(seed);
        this.workload = workload;
        for (int i = 0; i < REPLICAS; i++) {
            replicas.add(new Replica("i-" + Long.toHexString(random.nextLong())));
        }
        fleet = new SimulatedFleet(random, new int[] {VMS}, this);
    }

    /** Lets the first replicas hang three of ten requests, or makes all of them sound again. */
    void hang(int hangingReplicas) {
        for (int i = 0; i < REPLICAS; i++) {
            replicas.get(i).hangs = i < hangingReplicas;
        }
    }

    /** Lets all replicas process prompts more slowly. */
    void slowDown(int factor) {
        slowdown = factor;
    }

    /** Pairs of a VM and a replica that the VM suspects of leaving requests unanswered. */
    long suspected() {
        return vms.values().stream()
                .flatMap(vm -> vm.pool.replicas().stream())
                .filter(tracker -> tracker.unansweredRate() > 0)
                .count();
    }

    /** Lets one replica send nothing for a while, after which it goes on. */
    void pause(int replica, long millis) {
        replicas.get(replica).pausedUntil = fleet.now() + millis;
    }

    /** Lets VMs receive requests at the normal rate and returns what was counted. */
    Counts run(long millis) {
        return run(millis, 1);
    }

    /** The same at a multiple of the normal rate. */
    Counts run(long millis, double load) {
        counts = new Counts();
        double perVmStep = load * workload.normalRate * SimulatedFleet.STEP_MILLIS / 1_000 / VMS;
        long end = fleet.now() + millis;
        while (fleet.now() < end) {
            fleet.step();
            while (!events.isEmpty() && events.peek().at <= fleet.now()) {
                events.poll().action.run();
            }
            for (SimulatedFleet.Node node : fleet.nodes()) {
                if (random.nextDouble() < perVmStep) {
                    place(vms.get(node));
                }
            }
        }
        return counts;
    }

    int randomInt(int bound) {
        return random.nextInt(bound);
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
    public Map<String, SilenceCounts> silences(SimulatedFleet.Node node) {
        return vms.get(node).pool.silences(fleet.now());
    }

    @Override
    public void received(SimulatedFleet.Node node, FleetReport report) {
        vms.get(node).pool.mergeSilences(report, fleet.now());
    }

    private void place(Vm vm) {
        Optional<PromptSummary> prompt = workload.prompt(nextRequest++, random);
        PlacementQuery query =
                new PlacementQuery(
                        workload.route,
                        workload.service,
                        prompt,
                        3_000,
                        region -> true,
                        Set.of(),
                        true,
                        0,
                        PATIENCE_MILLIS);
        if (vm.chooser.choose(query, fleet.now()) instanceof Placement.Local local) {
            new Request(vm, local, prompt).send();
        } else {
            counts.refused++;
        }
    }

    private void schedule(long delay, Runnable action) {
        events.add(new Event(fleet.now() + delay, nextOrder++, action));
    }

    /** Kinds of requests and how replicas process them. */
    enum Workload {
        /** Streams of sessions whose prompts engines have cached, processed one after another. */
        SESSIONS(60, RouteKind.EVENT_STREAM, 200),

        /** Streams of sessions that are all new. */
        NEW_SESSIONS(60, RouteKind.EVENT_STREAM, Integer.MAX_VALUE),

        /** Plain requests that run beside each other. */
        PLAIN(300, RouteKind.AT_MOST_ONCE, 0);

        private static final int ENGINE_SLOTS = 24;
        private static final int PLAIN_SLOTS = 8;
        private static final int SESSION_TOKENS = 3_000;
        private static final int MIN_OWN_TOKENS = 500;
        private static final int OWN_TOKENS_SPREAD = 1_000;
        private static final int TOKENS_PER_MILLI = 80;
        private static final int STEP_MILLIS = 40;
        private static final int MIN_RUN_MILLIS = 30;
        private static final int RUN_SPREAD_MILLIS = 150;

        /** Requests per second that five replicas can take without delay. */
        private final int normalRate;

        private final int sessions;
        private final int slots;
        private final OptionalInt urgency;
        private final ServiceSpec service;
        private final RouteSpec route;

        Workload(int normalRate, RouteKind kind, int sessions) {
            this.normalRate = normalRate;
            this.sessions = sessions;
            boolean engine = sessions > 0;
            slots = engine ? ENGINE_SLOTS : PLAIN_SLOTS;
            urgency = engine ? OptionalInt.of(5) : OptionalInt.empty();
            EngineSpec spec = new EngineSpec(ENGINE_SLOTS, 360_000, false);
            service =
                    new ServiceSpec("s", 100, 0, 0, engine ? Optional.of(spec) : Optional.empty());
            route =
                    new RouteSpec(
                            "r",
                            "h",
                            "/",
                            kind,
                            4_000,
                            600,
                            300,
                            1,
                            List.of(new ServiceShare("s", 1)),
                            1,
                            false,
                            false,
                            false,
                            Set.of());
        }

        Optional<PromptSummary> prompt(int request, Random random) {
            if (sessions == 0) {
                return Optional.empty();
            }
            int own = MIN_OWN_TOKENS + random.nextInt(OWN_TOKENS_SPREAD);
            List<PromptPart> parts =
                    List.of(
                            new PromptPart("session-" + request % sessions, SESSION_TOKENS),
                            new PromptPart("own-" + request, own));
            return Optional.of(new PromptSummary("m", parts, SESSION_TOKENS + own, 50));
        }

        long firstByteAt(Replica replica, long tokens, Random random, long now) {
            if (sessions == 0) {
                return now + MIN_RUN_MILLIS + random.nextInt(RUN_SPREAD_MILLIS);
            }
            replica.freeAt = Math.max(now, replica.freeAt) + tokens / TOKENS_PER_MILLI;
            return replica.freeAt + STEP_MILLIS;
        }
    }

    /** What happened in a period. */
    static final class Counts {
        final int[] placed = new int[REPLICAS];
        int refused;
        int left;

        int total() {
            return placedOnFirst(REPLICAS);
        }

        int placedOnFirst(int count) {
            int sum = 0;
            for (int i = 0; i < count; i++) {
                sum += placed[i];
            }
            return sum;
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

    /** A replica as it is, not as VMs see it. */
    private static final class Replica {
        private final String id;
        private boolean hangs;
        private long pausedUntil;
        private long freeAt;

        Replica(String id) {
            this.id = id;
        }
    }

    /** Decisions of one VM. */
    private final class Vm {
        private final UpstreamPool pool;
        private final ReplicaChooser chooser;
        private final SessionLocations sessions = new SessionLocations();

        Vm(SimulatedFleet.Node node) {
            pool = new UpstreamPool(Map.of(ZONE, new RegionId("r0")));
            for (Replica replica : replicas) {
                UpstreamReplica info =
                        new UpstreamReplica(
                                replica.id,
                                "s",
                                new Endpoint("10.0.0.1", 80),
                                ZONE,
                                workload.slots,
                                ReplicaState.READY,
                                0,
                                1,
                                Set.of());
                pool.publish(info, Optional.of(workload.service), node.startedAt());
            }
            chooser =
                    new ReplicaChooser(
                            pool, node.view(), node.roster(), PlacementWeights.DEFAULT, sessions);
        }
    }

    /** A request that was placed. */
    private final class Request {
        private final Vm vm;
        private final Placement.Local local;
        private final Optional<PromptSummary> prompt;
        private final long sentAt = fleet.now();
        private AwaitedResponse response;
        private boolean answered;

        Request(Vm vm, Placement.Local local, Optional<PromptSummary> prompt) {
            this.vm = vm;
            this.local = local;
            this.prompt = prompt;
        }

        void send() {
            ReplicaTracker tracker = local.replica();
            response = tracker.awaitResponse(local.expectedMillis(), workload.urgency, sentAt);
            tracker.dispatched(local.uncachedTokens(), prompt.orElse(null), sentAt);
            Replica replica =
                    replicas.stream()
                            .filter(one -> one.id.equals(tracker.info().id()))
                            .findFirst()
                            .orElseThrow();
            prompt.ifPresent(sent -> vm.sessions.recordSent(sent, replica.id, sentAt));
            counts.placed[replicas.indexOf(replica)]++;
            schedule(CHECK_INTERVAL_MILLIS, this::check);
            schedule(PATIENCE_MILLIS, this::leave);
            if (replica.hangs && random.nextDouble() < HANGING_PART) {
                return;
            }
            long tokens = local.uncachedTokens();
            long at = workload.firstByteAt(replica, tokens * slowdown, random, sentAt);
            schedule(at - sentAt, () -> answer(replica));
        }

        private void check() {
            if (!answered && response.pending()) {
                response.check(fleet.now());
                schedule(CHECK_INTERVAL_MILLIS, this::check);
            }
        }

        private void answer(Replica replica) {
            if (fleet.now() < replica.pausedUntil) {
                schedule(replica.pausedUntil - fleet.now(), () -> answer(replica));
                return;
            }
            boolean callerLeft = fleet.now() - sentAt >= PATIENCE_MILLIS;
            if (callerLeft) {
                return;
            }
            answered = true;
            long queued = local.uncachedTokens();
            response.answered(fleet.now());
            local.replica().recordReceived(fleet.now(), fleet.now());
            local.replica().recordPromptProcessed(queued);
            vm.chooser
                    .speed(workload.service.name())
                    .recordFirstEvent(queued, fleet.now() - sentAt);
            local.replica().finished();
        }

        private void leave() {
            if (!answered) {
                counts.left++;
                response.abandoned(fleet.now());
                local.replica().recordPromptProcessed(local.uncachedTokens());
                local.replica().finished();
            }
        }
    }
}
