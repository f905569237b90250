package io.vanillapoint.core.upstream;

import io.vanillapoint.core.hash.Rendezvous;
import java.util.List;

/**
 * Keeps one request away from replicas that fail clearly more requests than is usual for their
 * service, and chooses the replica for which it is a trial. Valid for one moment; confined to one
 * thread.
 */
final class OutlierFilter {
    private final boolean active;
    private final PlacementQuery query;
    private final int vms;
    private final int replicas;
    private final long seed;
    private final long nowMillis;
    private Candidate trial;
    private Candidate best;

    private OutlierFilter(
            boolean active, PlacementQuery query, int vms, int replicas, long seed, long now) {
        this.active = active;
        this.query = query;
        this.vms = vms;
        this.replicas = replicas;
        this.seed = seed;
        nowMillis = now;
    }

    /** A filter that treats all replicas alike. */
    static OutlierFilter inactive(PlacementQuery query) {
        return new OutlierFilter(false, query, 1, 1, 0, 0);
    }

    /**
     * Compares the replicas of a service.
     *
     * @param failures usual failure rate of the service
     * @param serving its replicas that may receive requests
     * @param vm name of this VM
     * @param vms VMs of the region that send requests, including this one
     */
    static OutlierFilter of(
            PlacementQuery query,
            ServiceFailures failures,
            List<ReplicaTracker> serving,
            String vm,
            int vms,
            long nowMillis) {
        failures.compare(serving.stream().map(ReplicaTracker::failures).toList(), nowMillis);
        return new OutlierFilter(true, query, vms, serving.size(), Rendezvous.seed(vm), nowMillis);
    }

    /** Tells whether the filter compares replicas. */
    boolean active() {
        return active;
    }

    /** Tells whether a replica is an outlier. */
    boolean avoids(ReplicaTracker tracker) {
        return active && tracker.failures().outlier();
    }

    /**
     * Processes a candidate. Smoothed failure rates of candidates are replaced by the evidence of
     * all VMs.
     *
     * @return true if the request should go elsewhere as long as there is another candidate
     */
    boolean rejects(Candidate candidate) {
        if (!active) {
            return false;
        }
        candidate.loss -= ReplicaScorer.failureRateLoss(candidate.tracker);
        FailureEvidence failures = candidate.tracker.failures();
        boolean mayBeTrial = candidate.path == PlacementPath.DIRECT && query.tried().isEmpty();
        if (!failures.outlier()) {
            boolean mayFail = query.route().mayRunAgain();
            if (mayBeTrial && mayFail && failures.confirmationDue()) {
                considerTrial(candidate);
            }
            return false;
        }
        if (best == null || candidate.loss < best.loss) {
            best = candidate;
        }
        if (mayBeTrial && failures.trialDue(turn(candidate), nowMillis)) {
            considerTrial(candidate);
        }
        return true;
    }

    private void considerTrial(Candidate candidate) {
        if (trial == null || candidate.loss < trial.loss) {
            trial = candidate;
        }
    }

    private FailureEvidence.TrialTurn turn(Candidate candidate) {
        long hash = Rendezvous.seededWeight(seed, candidate.tracker.info().id());
        double phase = (hash >>> 1) / (double) Long.MAX_VALUE;
        return new FailureEvidence.TrialTurn(vms, replicas, phase);
    }

    /** The replica that the request should test, null if none. */
    Candidate trial() {
        return trial;
    }

    /** The best of the replicas that should be avoided, null if there is none. */
    Candidate bestRejected() {
        return best;
    }
}
