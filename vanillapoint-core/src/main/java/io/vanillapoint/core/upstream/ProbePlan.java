package io.vanillapoint.core.upstream;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * Decides which replicas this VM probes with a status call: those that fail, those that may have
 * restarted under their id, and those to which this VM may have lost the path.
 *
 * <p>Invariants: at most one probe of a replica is pending, and the probes of this VM stay below a
 * constant rate, however many replicas fail. The replica that has waited longest comes first.
 * Confined to one thread.
 */
public final class ProbePlan {
    /** Probes a second that a one-core VM can send beside its requests. */
    private static final double MAX_PER_SECOND = 20;

    /** Replicas that fail together and are probed at once. */
    private static final double BURST = 10;

    /** Jitter of the pause between two probes, so that VMs do not probe at the same time. */
    private static final int JITTER_MILLIS = 150;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final UpstreamPool pool;
    private final Random random;
    private double tokens = BURST;
    private long refilledAtMillis;

    /**
     * Creates a plan.
     *
     * @param pool replicas
     * @param seed seed of the jitter, different on each VM
     * @param nowMillis monotonic time
     */
    public ProbePlan(UpstreamPool pool, long seed, long nowMillis) {
        this.pool = pool;
        random = new Random(seed);
        refilledAtMillis = nowMillis;
    }

    /**
     * Tells whether any replica is to be probed, now or later.
     *
     * @param nowMillis monotonic time
     * @return false if no probe is needed until a request fails
     */
    public boolean wanted(long nowMillis) {
        return !pool.onSuspectedPaths().isEmpty()
                || pool.replicas().stream()
                        .anyMatch(
                                tracker ->
                                        tracker.probeWanted(nowMillis)
                                                && pool.serves(tracker, nowMillis));
    }

    /**
     * Starts the probes that are due. Each of them has to be sent and its end recorded with the
     * tracker.
     *
     * @param nowMillis monotonic time
     * @return replicas to probe now
     */
    public List<ReplicaTracker> start(long nowMillis) {
        Set<ReplicaTracker> due = new LinkedHashSet<>();
        for (ReplicaTracker tracker : pool.replicas()) {
            if (tracker.probeDue(nowMillis)) {
                due.add(tracker);
            }
        }
        for (ReplicaTracker tracker : pool.onSuspectedPaths()) {
            if (tracker.mayStartProbe(nowMillis)) {
                due.add(tracker);
            }
        }
        List<ReplicaTracker> serving =
                due.stream()
                        .filter(tracker -> pool.serves(tracker, nowMillis))
                        .sorted(Comparator.comparingLong(ReplicaTracker::nextProbeMillis))
                        .toList();
        List<ReplicaTracker> started =
                serving.subList(0, Math.min(serving.size(), permitted(nowMillis)));
        tokens -= started.size();
        for (ReplicaTracker tracker : started) {
            tracker.probeStarted(random.nextInt(JITTER_MILLIS), nowMillis);
        }
        return started;
    }

    /** Number of probes that the rate permits now. */
    private int permitted(long nowMillis) {
        double refill = (nowMillis - refilledAtMillis) * MAX_PER_SECOND / MILLIS_PER_SECOND;
        tokens = Math.min(BURST, tokens + refill);
        refilledAtMillis = nowMillis;
        return (int) tokens;
    }
}
