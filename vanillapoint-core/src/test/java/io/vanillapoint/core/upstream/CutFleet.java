package io.vanillapoint.core.upstream;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.fleet.Rosters;
import io.vanillapoint.core.fleet.VmRoster;
import io.vanillapoint.core.published.ServiceSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * VMs and replicas of one region in virtual time, some of which can be cut off from all VMs. The
 * load needs two thirds of all replicas.
 */
final class CutFleet {
    static final long COLD_MILLIS = 3_000;

    private static final double COLD_PER_SECOND = 2.6;

    /** The operators' limit on arrivals in one second from all VMs. */
    static final double MAX_COLD_IN_A_SECOND = COLD_PER_SECOND * 1.5 + 3;

    private static final int VMS = 6;
    private static final int REPLICAS = 14;
    private static final int SLOTS = 8;
    private static final int MIN_RUN_MILLIS = 300;
    private static final int RUN_SPREAD_MILLIS = 200;

    /** Requests of one VM in a thousand steps. */
    private static final int ARRIVALS_PER_THOUSAND_STEPS = 300;

    private static final long STEP_MILLIS = 10;
    private static final long PROBE_CHECK_MILLIS = 50;
    private static final long CONNECT_TIMEOUT_MILLIS = 300;
    private static final long SILENCE_TIMEOUT_MILLIS = 400;
    private static final long ROUND_TRIP_MILLIS = 2;

    /** A VM of a large region receives a change with the next heartbeat of a store reader. */
    private static final int MAX_ENTRY_DELAY_MILLIS = 1_400;

    private static final ServiceSpec SERVICE =
            new ServiceSpec("s", 100, COLD_MILLIS, COLD_PER_SECOND, Optional.empty());

    private final Random random;
    private final boolean tellsStart;
    private final List<Replica> replicas = new ArrayList<>();
    private final List<Vm> vms = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis));
    private long now;
    private boolean cut;
    private int refused;
    private int placedOnCutReplicas;

    /**
     * Creates a fleet.
     *
     * @param seed seed of all random decisions
     * @param tellsStart whether replicas tell when they started
     * @param cutReplicas replicas that {@link #cut} cuts off
     */
    CutFleet(long seed, boolean tellsStart, int cutReplicas) {
        random = new Random(seed);
        this.tellsStart = tellsStart;
        for (int i = 0; i < REPLICAS; i++) {
            replicas.add(new Replica("i-" + i, i < cutReplicas));
        }
        List<String> names = IntStream.range(0, VMS).mapToObj(i -> "vm-" + i).toList();
        names.forEach(name -> vms.add(new Vm(name, names, random.nextLong())));
    }

    /** Cuts the replicas off from all VMs, or ends that. */
    void cut(boolean active) {
        cut = active;
    }

    /** Restarts the replicas that were cut off, cold; VMs receive their entries later. */
    void restartCutReplicas() {
        for (Replica replica : replicas) {
            if (replica.cuttable) {
                replica.startedAt++;
                replica.coldUntil = now + COLD_MILLIS;
                replica.running = 0;
                for (Vm vm : vms) {
                    at(now + random.nextInt(MAX_ENTRY_DELAY_MILLIS), () -> vm.publish(replica));
                }
            }
        }
    }

    /** Runs until a time and returns what was counted since the last call. */
    Counts run(long untilMillis) {
        refused = 0;
        placedOnCutReplicas = 0;
        while (now < untilMillis) {
            now += STEP_MILLIS;
            while (!events.isEmpty() && events.peek().atMillis <= now) {
                events.poll().action.run();
            }
            vms.forEach(Vm::step);
        }
        return new Counts(refused, placedOnCutReplicas);
    }

    double mostColdArrivalsInASecond() {
        return replicas.stream()
                .mapToDouble(replica -> replica.coldArrivals.mostInASecond())
                .max()
                .orElseThrow();
    }

    int coldArrivals() {
        return replicas.stream().mapToInt(replica -> replica.coldArrivals.count()).sum();
    }

    private void at(long atMillis, Runnable action) {
        events.add(new Event(atMillis, action));
    }

    /**
     * Counts of a period.
     *
     * @param refused requests for which no replica could be selected
     * @param placedOnCutReplicas requests placed on replicas that can be cut off
     */
    record Counts(int refused, int placedOnCutReplicas) {}

    /** Something that happens at a time. */
    private record Event(long atMillis, Runnable action) {}

    /** A replica as it is, not as VMs see it. */
    private final class Replica {
        private final String id;
        private final boolean cuttable;
        private final Arrivals coldArrivals = new Arrivals();
        private long startedAt = 1;
        private long coldUntil;
        private int running;

        Replica(String id, boolean cuttable) {
            this.id = id;
            this.cuttable = cuttable;
        }

        boolean reachable() {
            return !cut || !cuttable;
        }
    }

    /** A VM that sends each request to the selectable replica with the lowest load. */
    private final class Vm {
        private final UpstreamPool pool =
                new UpstreamPool(Map.of(Replicas.ZONE, new RegionId("r")));
        private final VmRoster roster;
        private final ProbePlan probes;

        Vm(String name, List<String> names, long seed) {
            roster = Rosters.withMembers(name, names, 0);
            probes = new ProbePlan(pool, seed, 0);
            replicas.forEach(this::publish);
        }

        void publish(Replica replica) {
            long coldMillis = Math.max(0, replica.coldUntil - now);
            long startedAt = tellsStart || replica.startedAt > 1 ? replica.startedAt : 0;
            pool.publish(
                    Replicas.ready(replica.id, startedAt, coldMillis), Optional.of(SERVICE), now);
        }

        void step() {
            if (now % PROBE_CHECK_MILLIS == 0) {
                probes.start(now).forEach(this::probe);
            }
            if (random.nextInt(1_000) < ARRIVALS_PER_THOUSAND_STEPS) {
                place();
            }
        }

        private void place() {
            replicas.stream()
                    .filter(replica -> replica.running < SLOTS)
                    .filter(replica -> pool.maySelect(tracker(replica.id), SERVICE, roster, now))
                    .min(Comparator.comparingInt(replica -> replica.running))
                    .ifPresentOrElse(this::send, () -> refused++);
        }

        private void send(Replica replica) {
            ReplicaTracker tracker = tracker(replica.id);
            tracker.dispatched(0, null, now);
            placedOnCutReplicas += replica.cuttable ? 1 : 0;
            if (!replica.reachable()) {
                at(now + CONNECT_TIMEOUT_MILLIS, () -> fail(tracker));
                return;
            }
            if (now < replica.coldUntil) {
                replica.coldArrivals.add(now);
            }
            replica.running++;
            long startedAt = replica.startedAt;
            at(
                    now + MIN_RUN_MILLIS + random.nextInt(RUN_SPREAD_MILLIS),
                    () -> end(replica, startedAt, tracker));
        }

        private void end(Replica replica, long startedAt, ReplicaTracker tracker) {
            replica.running -= replica.startedAt == startedAt ? 1 : 0;
            if (replica.reachable()) {
                tracker.recordReceived(now, now);
                tracker.finished();
            } else {
                at(now + SILENCE_TIMEOUT_MILLIS, () -> fail(tracker));
            }
        }

        private void fail(ReplicaTracker tracker) {
            tracker.unreachable(now);
            tracker.finished();
        }

        private void probe(ReplicaTracker tracker) {
            Replica replica =
                    replicas.stream()
                            .filter(one -> one.id.equals(tracker.info().id()))
                            .findFirst()
                            .orElseThrow();
            if (replica.reachable()) {
                long startedAt = tellsStart ? replica.startedAt : 0;
                at(now + ROUND_TRIP_MILLIS, () -> tracker.probeAnswered(startedAt, now));
            } else {
                at(now + CONNECT_TIMEOUT_MILLIS, () -> tracker.probeUnreachable(now));
            }
        }

        private ReplicaTracker tracker(String id) {
            return pool.replica(id).orElseThrow();
        }
    }
}
