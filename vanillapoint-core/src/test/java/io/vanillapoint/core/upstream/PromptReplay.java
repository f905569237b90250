package io.vanillapoint.core.upstream;

import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.core.fleet.FleetReport;
import io.vanillapoint.core.prompt.PromptPart;
import io.vanillapoint.core.prompt.PromptSummary;
import io.vanillapoint.core.published.EngineSpec;
import io.vanillapoint.core.published.GatewayPublication;
import io.vanillapoint.core.published.ReplicaState;
import io.vanillapoint.core.published.RouteSpec;
import io.vanillapoint.core.published.ServiceSpec;
import io.vanillapoint.core.published.TrafficLimits;
import io.vanillapoint.core.published.UpstreamReplica;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;

/**
 * Several VMs of one region with the real decisions, and engines of one model in virtual time.
 * Callers return once after a refusal. Without load-aware placement, the plain rule is replayed.
 */
final class PromptReplay {
    static final RouteSpec SHORT = ReplayRoutes.stream("short", 507, 15_000, 0);
    static final RouteSpec LONG = ReplayRoutes.stream("long", 2_015, 6_000, 2);
    private static final int VMS = 6;
    private static final int SLOTS = 16;

    private static final ServiceSpec MODEL =
            new ServiceSpec(
                    "model", 100, 3_000, 2.9, Optional.of(new EngineSpec(SLOTS, 216_498, false)));

    final ReplayTime time = new ReplayTime();
    final ReplayTotals shortTotals = new ReplayTotals();
    final ReplayTotals longTotals = new ReplayTotals();
    final Map<String, Integer> sentToCold = new HashMap<>();
    private final Random random;
    private final boolean loadAware;
    private final Map<String, ReplayEngine> engines = new HashMap<>();
    private final List<ReplayVm> vms = new ArrayList<>();
    private final int sessions;
    private long heartbeatDelayMillis = 20;
    private OptionalInt customerPriority = OptionalInt.of(1);
    private int nextPrompt;

    PromptReplay(int seed, int engineCount, int sessions, boolean loadAware) {
        random = new Random(seed);
        this.loadAware = loadAware;
        this.sessions = sessions;
        for (int i = 0; i < engineCount; i++) {
            engines.put("e" + i, new ReplayEngine(time, SLOTS, 33, 6.35, 42.8, 173_000));
        }
        List<String> names = new ArrayList<>();
        for (int i = 0; i < VMS; i++) {
            names.add("vm" + i);
        }
        Optional<GatewayPublication> publication =
                Optional.of(
                                new GatewayPublication(
                                        1,
                                        List.of(SHORT, LONG),
                                        List.of(MODEL),
                                        List.of(),
                                        TrafficLimits.DEFAULT))
                        .filter(unused -> loadAware);
        names.forEach(name -> vms.add(new ReplayVm(name, names, publication)));
        engines.keySet().forEach(id -> publish(id, 0, 1));
        for (ReplayVm vm : vms) {
            time.schedule(random.nextInt(200), () -> heartbeat(vm));
        }
    }

    void delayHeartbeats(long millis) {
        heartbeatDelayMillis = millis;
    }

    void customerPriority(OptionalInt priority) {
        customerPriority = priority;
    }

    /** Lets requests arrive at random at all VMs. */
    void offer(RouteSpec route, double perSecond, double fromMillis, double toMillis) {
        double start = 10_000;
        double at = start + fromMillis;
        while (true) {
            at -= Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
            if (at >= start + toMillis) {
                return;
            }
            time.schedule(at - time.millis(), () -> new Request(route).start());
        }
    }

    void run(double millis) {
        time.runUntil(10_000 + millis);
    }

    private void heartbeat(ReplayVm sender) {
        FleetReport report = sender.report(time.now());
        time.schedule(
                heartbeatDelayMillis,
                () ->
                        vms.stream()
                                .filter(vm -> vm != sender)
                                .forEach(vm -> vm.fleet.receive(report, time.now())));
        time.schedule(200, () -> heartbeat(sender));
    }

    /** Ends engines and removes their entries. */
    void lose(int count) {
        for (int i = 0; i < count; i++) {
            String id = "e" + i;
            vms.forEach(vm -> vm.pool.remove(id, false, time.now()));
            engines.get(id).crash();
        }
    }

    /** Restarts an engine, which is cold for three seconds. */
    void turnCold(String id) {
        engines.get(id).crash();
        engines.get(id).restart();
        publish(id, 3_000, 2);
    }

    int preemptions() {
        return engines.values().stream().mapToInt(ReplayEngine::preemptions).sum();
    }

    private void publish(String id, long coldMillis, long startedAtMillis) {
        UpstreamReplica info =
                new UpstreamReplica(
                        id,
                        "model",
                        new Endpoint("10.0.0.1", 80),
                        ReplayVm.ZONE,
                        SLOTS,
                        ReplicaState.READY,
                        coldMillis,
                        startedAtMillis,
                        Set.of("m"));
        vms.forEach(vm -> vm.pool.publish(info, Optional.of(MODEL), time.now()));
    }

    /** One request of a caller. */
    private final class Request {
        private final RouteSpec route;
        private final PromptSummary prompt;
        private final ReplayTotals totals;
        private final double startedMillis = time.millis();
        private final ReplayVm vm = vms.get(random.nextInt(VMS));
        private boolean returned;
        private boolean ended;
        private double firstEventMillis = -1;
        private ReplayEngine.Job job;
        private ReplayUse jobUse;

        Request(RouteSpec route) {
            this.route = route;
            boolean isLong = route == LONG;
            totals = isLong ? longTotals : shortTotals;
            String session = "s" + random.nextInt(sessions);
            PromptPart own = new PromptPart("own" + nextPrompt++, isLong ? 2_890 : 628);
            List<PromptPart> parts =
                    isLong
                            ? List.of(
                                    new PromptPart("long", 2_500),
                                    new PromptPart(session, 3_800),
                                    own)
                            : List.of(new PromptPart("short", 198), own);
            prompt = new PromptSummary("m", parts, isLong ? 9_190 : 826, isLong ? 10 : 58);
        }

        void start() {
            totals.offered++;
            if (totals.lastPlacedMillis < 0) {
                totals.lastPlacedMillis = time.millis();
            }
            time.schedule(route.timeoutMillis(), this::timedOut);
            place();
        }

        private void place() {
            if (ended) {
                return;
            }
            long now = time.now();
            long elapsed = (long) (time.millis() - startedMillis);
            Optional<EngineRank> rank =
                    vm.pool.loadAwareness().rank(route, "model", customerPriority, now);
            PlacementQuery query =
                    new PlacementQuery(
                            route,
                            MODEL,
                            Optional.of(prompt),
                            9_000,
                            region -> true,
                            new HashSet<>(),
                            true,
                            elapsed,
                            route.timeoutMillis() - elapsed,
                            rank);
            Placement placement = vm.chooser.choose(query, now);
            if (placement instanceof Placement.Local local) {
                send(local, rank);
            } else if (placement instanceof Placement.Refuse refuse) {
                refused(refuse);
            } else {
                throw new IllegalStateException("there is one region only");
            }
        }

        private void refused(Placement.Refuse refuse) {
            totals.notPlaced(time.millis());
            double leftMillis = startedMillis + route.timeoutMillis() - time.millis();
            if (returned || refuse.retryAfterMillis() > leftMillis / 3) {
                ended = true;
                totals.refused++;
            } else {
                returned = true;
                time.schedule(refuse.retryAfterMillis(), this::place);
            }
        }

        private void send(Placement.Local local, Optional<EngineRank> rank) {
            ReplicaTracker tracker = local.replica();
            String id = tracker.info().id();
            totals.placed(time.millis());
            if (tracker.cold(time.now())) {
                sentToCold.merge(id, 1, Integer::sum);
            }
            int urgency =
                    rank.map(EngineRank::urgency)
                            .orElse(EngineRank.urgency(customerPriority.orElse(route.priority())));
            ReplayUse use =
                    new ReplayUse(
                            vm,
                            tracker,
                            local.uncachedTokens(),
                            local.expectedMillis(),
                            rank,
                            time);
            use.sent(prompt);
            job =
                    new ReplayEngine.Job(
                            prompt,
                            urgency,
                            (int) prompt.outputTokens(),
                            () -> firstEvent(use),
                            () -> lostOrDone(use));
            jobUse = use;
            if (!engines.get(id).submit(job)) {
                use.ended();
                refused(new Placement.Refuse(RefusalReason.ALL_REPLICAS_BUSY, 400));
            }
        }

        private void firstEvent(ReplayUse use) {
            use.firstEvent();
            if (!ended && firstEventMillis < 0) {
                firstEventMillis = time.millis() - startedMillis;
            }
        }

        private void lostOrDone(ReplayUse use) {
            use.ended();
            end();
        }

        private void timedOut() {
            if (!ended && job != null) {
                job.cancel();
                jobUse.ended();
            }
            end();
        }

        private void end() {
            if (ended) {
                return;
            }
            ended = true;
            if (firstEventMillis < 0) {
                totals.failed++;
            } else if (firstEventMillis <= route.targetMillis()) {
                totals.inTime++;
            } else {
                totals.late++;
            }
        }
    }
}
