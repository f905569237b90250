package io.vanillapoint.core.retry;

import io.vanillapoint.core.fleet.VirtualMembers;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Entry VMs that retry failed requests to one service, in virtual time, against the rule. */
final class RetryFleet implements VirtualMembers.Listener {
    static final long WINDOW_MILLIS = 10_000;
    private static final String SERVICE = "s";
    private static final long TICK_MILLIS = 200;
    private static final double MILLIS_PER_SECOND = 1_000;

    final VirtualMembers members;
    private final Random random;
    private final RetryBounds bounds;
    private final List<RetryAllowance> allowances = new ArrayList<>();
    private final ArrayDeque<Long> requests = new ArrayDeque<>();
    private final ArrayDeque<Long> retries = new ArrayDeque<>();
    private double worstPart;
    private int failed;
    private int retried;

    RetryFleet(long seed, int[] vmsByRegion, RetryBounds bounds) {
        this.bounds = bounds;
        random = new Random(seed);
        members = new VirtualMembers(random, vmsByRegion, this);
    }

    @Override
    public void started(VirtualMembers.Node node) {
        RetryAllowance fresh = new RetryAllowance(bounds);
        if (node.index() == allowances.size()) {
            allowances.add(fresh);
        } else {
            allowances.set(node.index(), fresh);
        }
    }

    /** Lets time pass while requests arrive at random VMs and a part of them fails. */
    void run(long millis, int requestsPerSecond, double failing) {
        long end = members.now() + millis;
        while (members.now() < end) {
            members.step();
            if (members.now() % TICK_MILLIS == 0) {
                tick();
            }
            double due = requestsPerSecond * VirtualMembers.STEP_MILLIS / MILLIS_PER_SECOND;
            while (random.nextDouble() < due) {
                request(failing);
                due -= 1;
            }
        }
    }

    /** Largest part of the bound that any window has reached. */
    double worstPart() {
        return worstPart;
    }

    double retriedPart() {
        return failed == 0 ? 1 : (double) retried / failed;
    }

    void resetCounts() {
        failed = 0;
        retried = 0;
    }

    private void tick() {
        for (VirtualMembers.Node node : members.nodes()) {
            if (node.up()) {
                allowances.get(node.index()).vms(node.view().members().size() + 1);
            }
        }
    }

    private void request(double failing) {
        VirtualMembers.Node node = members.nodes().get(random.nextInt(members.nodes().size()));
        long now = members.now();
        requests.addLast(now);
        if (!node.up()) {
            return;
        }
        RetryAllowance allowance = allowances.get(node.index());
        allowance.request(SERVICE, now);
        if (random.nextDouble() < failing) {
            failed++;
            if (allowance.take(SERVICE, now)) {
                retried++;
                retries.addLast(now);
                drop(requests, now);
                drop(retries, now);
                double bound = bounds.ratio() * requests.size() + bounds.slack();
                worstPart = Math.max(worstPart, retries.size() / bound);
            }
        }
    }

    private static void drop(ArrayDeque<Long> times, long now) {
        while (!times.isEmpty() && times.peekFirst() <= now - WINDOW_MILLIS) {
            times.removeFirst();
        }
    }
}
