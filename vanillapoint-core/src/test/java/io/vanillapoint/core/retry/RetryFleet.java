package io.vanillapoint.core.retry;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.fleet.SimulatedFleet;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;

/** Simulates, in virtual time, entry VMs that retry failed requests to one service. */
final class RetryFleet implements SimulatedFleet.Listener {
    static final long WINDOW_MILLIS = 10_000;
    private static final String SERVICE = "s";
    private static final long TICK_MILLIS = 200;
    private static final double MILLIS_PER_SECOND = 1_000;

    final SimulatedFleet members;
    private final Random random;
    private final RetryBounds bounds;
    private final List<RetryAllowance> allowances = new ArrayList<>();
    private final ArrayDeque<Long> requests = new ArrayDeque<>();
    private final ArrayDeque<Long> retries = new ArrayDeque<>();
    private final Set<RegionId> regions = new HashSet<>();
    private double maxBoundUse;
    private int failed;
    private int retried;

    RetryFleet(long seed, int[] vmsByRegion, RetryBounds bounds) {
        this.bounds = bounds;
        random = new Random(seed);
        members = new SimulatedFleet(random, vmsByRegion, this);
        members.nodes().forEach(node -> regions.add(node.view().self().region()));
    }

    @Override
    public void started(SimulatedFleet.Node node) {
        RetryAllowance fresh = new RetryAllowance(bounds, node.startedAt());
        if (node.index() == allowances.size()) {
            allowances.add(fresh);
        } else {
            allowances.set(node.index(), fresh);
        }
    }

    /** Advances time while requests arrive at random VMs and a fraction of them fails. */
    void run(long millis, int requestsPerSecond, double failureRate) {
        long end = members.now() + millis;
        while (members.now() < end) {
            members.step();
            if (members.now() % TICK_MILLIS == 0) {
                tick();
            }
            double due = requestsPerSecond * SimulatedFleet.STEP_MILLIS / MILLIS_PER_SECOND;
            while (random.nextDouble() < due) {
                request(failureRate);
                due -= 1;
            }
        }
    }

    /** Highest ratio of retries to the bound in any window. */
    double maxBoundUse() {
        return maxBoundUse;
    }

    double retriedFraction() {
        return failed == 0 ? 1 : (double) retried / failed;
    }

    void resetCounts() {
        failed = 0;
        retried = 0;
    }

    private void tick() {
        for (SimulatedFleet.Node node : members.nodes()) {
            if (node.up()) {
                boolean regionsKnown = node.view().knowsVmsOf(regions);
                allowances.get(node.index()).updateVmCount(node.view().knownVms(), regionsKnown);
            }
        }
    }

    private void request(double failureRate) {
        SimulatedFleet.Node node = members.nodes().get(random.nextInt(members.nodes().size()));
        long now = members.now();
        requests.addLast(now);
        if (!node.up()) {
            return;
        }
        RetryAllowance allowance = allowances.get(node.index());
        allowance.recordRequest(SERVICE, now);
        if (random.nextDouble() < failureRate) {
            failed++;
            if (allowance.tryAcquire(SERVICE, now)) {
                retried++;
                retries.addLast(now);
                removeUntil(requests, now - 2 * WINDOW_MILLIS);
                removeUntil(retries, now - WINDOW_MILLIS);
                double bound = bounds.ratio() * countedRequests(now) + bounds.slack();
                maxBoundUse = Math.max(maxBoundUse, retries.size() / bound);
            }
        }
    }

    /** Largest request count of this window and those that ended half a window and one before. */
    private long countedRequests(long now) {
        return LongStream.of(0, WINDOW_MILLIS / 2, WINDOW_MILLIS)
                .map(shift -> requestsOfWindow(now - shift))
                .max()
                .orElseThrow();
    }

    private long requestsOfWindow(long end) {
        return requests.stream().filter(at -> at <= end && at > end - WINDOW_MILLIS).count();
    }

    private static void removeUntil(ArrayDeque<Long> times, long until) {
        while (!times.isEmpty() && times.peekFirst() <= until) {
            times.removeFirst();
        }
    }
}
