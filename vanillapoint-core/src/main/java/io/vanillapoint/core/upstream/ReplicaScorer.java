package io.vanillapoint.core.upstream;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.fleet.FleetView;
import io.vanillapoint.core.fleet.UpstreamUse;
import io.vanillapoint.core.prompt.PromptSummary;
import io.vanillapoint.core.published.EngineSpec;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Computes the expected time of a request at a replica, and the loss of its value by lateness, by
 * failures, by prompt parts that are processed again and by bytes between regions. Confined to one
 * thread.
 */
final class ReplicaScorer {
    /** Probability that this region's preferred engine has cached a session this VM never sent. */
    private static final double PREFERRED_HIT_PROBABILITY = 0.8;

    /** The same for another region, which receives fewer requests of the session. */
    private static final double REMOTE_PREFERRED_HIT_PROBABILITY = 0.1;

    /** Wait per queued request of a full engine, about a tenth of a long response's duration. */
    static final double SLOT_WAIT_MILLIS = 150;

    /**
     * Ratios of expected time to target from which responses may be late and are certainly late.
     */
    private static final double LATENESS_START_RATIO = 0.55;

    private static final double LATENESS_CERTAIN_RATIO = 1.15;

    /** Loss per unit of failure rate above {@link #BASELINE_FAILURE_RATE}. */
    private static final double FAILING_REPLICA_LOSS = 0.8;

    /** Failure rate that services have in normal operation. */
    private static final double BASELINE_FAILURE_RATE = 0.1;

    /** Loss per target of expected time, to prefer the faster of replicas that are all in time. */
    private static final double LOSS_PER_TARGET = 0.02;

    /** Loss for a full batch, in which each token takes longer than in an empty one. */
    private static final double FULL_BATCH_LOSS = 0.02;

    /** Weight of the newest measurement in the smoothed round-trip time. */
    private static final double NEWEST_ROUND_TRIP_WEIGHT = 0.125;

    /** Additional time through another VM of this region. */
    private static final double REGION_RELAY_MILLIS = 4;

    /** Loss for the work of another VM and the bytes between availability zones. */
    private static final double REGION_RELAY_LOSS = 0.01;

    private final FleetView fleet;
    private final PlacementWeights weights;
    private final LongPromptLimit longPromptLimit;
    private final LoadAwareness awareness;
    private final Map<String, EngineSpeed> speeds = new HashMap<>();
    private final Map<String, EngineQueue> engineQueues = new HashMap<>();
    private final Map<RegionId, Double> roundTrips = new HashMap<>();

    ReplicaScorer(
            FleetView fleet,
            PlacementWeights weights,
            LongPromptLimit longPromptLimit,
            LoadAwareness awareness) {
        this.longPromptLimit = longPromptLimit;
        this.awareness = awareness;
        this.fleet = fleet;
        this.weights = weights;
    }

    EngineSpeed speed(String service) {
        return speeds.computeIfAbsent(service, unused -> new EngineSpeed());
    }

    EngineQueue engineQueue(String service) {
        return engineQueues.computeIfAbsent(service, unused -> new EngineQueue());
    }

    void recordRoundTrip(RegionId region, long millis) {
        double previous = roundTrips.getOrDefault(region, weights.initialRoundTripMillis());
        roundTrips.put(region, previous + NEWEST_ROUND_TRIP_WEIGHT * (millis - previous));
    }

    /** Round-trip time to the VMs of a region, in milliseconds. */
    double roundTripMillis(RegionId region) {
        boolean own = region.equals(fleet.self().region());
        return roundTrips.getOrDefault(
                region, own ? REGION_RELAY_MILLIS : weights.initialRoundTripMillis());
    }

    /**
     * Computes the expected time and loss of a request at a replica.
     *
     * @param preferred engines that are most likely to have cached a new session
     * @param cachingEngines engines known to have cached the session
     */
    Candidate score(
            ReplicaTracker tracker,
            PlacementPath path,
            PlacementQuery query,
            Set<String> preferred,
            List<String> cachingEngines,
            long nowMillis) {
        UpstreamUse use = tracker.outstanding().plus(fleet.otherVmUse(tracker.info().id()));
        Candidate candidate = new Candidate(tracker, path);
        if (query.prompt().isPresent()) {
            scoreEngine(candidate, query, use, preferred, cachingEngines);
        } else {
            candidate.expectedMillis =
                    serviceMillis(tracker, nowMillis)
                            * ServiceTimes.loadFactor(use, tracker.info().slots());
        }
        candidate.expectedMillis *= tracker.slowdownFactor(nowMillis);
        if (path == PlacementPath.REGION_VM) {
            candidate.expectedMillis += REGION_RELAY_MILLIS;
            candidate.loss += REGION_RELAY_LOSS;
        } else if (path == PlacementPath.OTHER_REGION) {
            candidate.expectedMillis +=
                    roundTrips.getOrDefault(tracker.region(), weights.initialRoundTripMillis());
            candidate.loss += weights.crossRegionPerKilobyte() * query.bodyBytes() / 1_000.0;
        }
        double targetRatio =
                (candidate.expectedMillis + query.elapsedMillis()) / query.route().targetMillis();
        candidate.loss += weights.lateAnswer() * lateness(targetRatio);
        candidate.loss += failureRateLoss(tracker);
        candidate.loss += LOSS_PER_TARGET * targetRatio;
        return candidate;
    }

    /** Loss by the smoothed failure rate of this VM's own responses. */
    static double failureRateLoss(ReplicaTracker tracker) {
        return FAILING_REPLICA_LOSS * Math.max(0, tracker.failureRate() - BASELINE_FAILURE_RATE);
    }

    private void scoreEngine(
            Candidate candidate,
            PlacementQuery query,
            UpstreamUse use,
            Set<String> preferred,
            List<String> cachingEngines) {
        PromptSummary prompt = query.prompt().orElseThrow();
        ReplicaTracker tracker = candidate.tracker;
        long sharedTokens = prompt.sharedTokens();
        long cachedTokens = tracker.prefixCache().cachedTokens(prompt);
        if (cachingEngines.contains(tracker.info().id())) {
            cachedTokens = Math.max(cachedTokens, sharedTokens);
        } else if (preferred.contains(tracker.info().id())) {
            double hitProbability =
                    candidate.path == PlacementPath.OTHER_REGION
                            ? REMOTE_PREFERRED_HIT_PROBABILITY
                            : PREFERRED_HIT_PROBABILITY;
            cachedTokens = Math.max(cachedTokens, (long) (sharedTokens * hitProbability));
        }
        candidate.uncachedTokens = Math.max(0, prompt.promptTokens() - cachedTokens);
        int slots = query.service().engine().map(EngineSpec::slots).orElse(1);
        query.rank()
                .ifPresentOrElse(
                        rank -> scoreByRank(candidate, query, use, rank, slots),
                        () -> scoreByArrival(candidate, query, use, slots));
        double recomputedTokens = Math.max(0, sharedTokens - cachedTokens);
        candidate.loss += weights.recomputedPerKiloToken() * recomputedTokens / 1_000.0;
        candidate.loss += FULL_BATCH_LOSS * use.requests() / Math.max(1, slots);
    }

    private void scoreByArrival(
            Candidate candidate, PlacementQuery query, UpstreamUse use, int slots) {
        long tokensAhead = use.promptTokens() + candidate.uncachedTokens;
        candidate.expectedMillis = speed(query.service().name()).firstEventMillis(tokensAhead);
        int waiting = use.requests() + 1 - slots;
        if (waiting > 0) {
            candidate.expectedMillis += SLOT_WAIT_MILLIS * waiting;
        }
    }

    private void scoreByRank(
            Candidate candidate,
            PlacementQuery query,
            UpstreamUse use,
            EngineRank rank,
            int slots) {
        String service = query.service().name();
        EngineQueue queue = engineQueue(service);
        long tokens = queue.tokensToFirstEvent(use, rank, candidate.uncachedTokens);
        candidate.expectedMillis =
                queue.overtakingFactor(rank)
                        * (speed(service).firstEventMillis(tokens)
                                + queue.slotWaitMillis(use, rank, slots));
        candidate.loss += queue.preemptionLoss(use, rank, slots);
        if (rank.deferrable()) {
            candidate.headroom =
                    longPromptLimit.headroom(
                            query,
                            candidate.tracker.info().id(),
                            use,
                            candidate.uncachedTokens,
                            speed(service).tokensPerMilli());
            candidate.loss += candidate.headroom.loss();
        }
    }

    /** Time for which a request takes up one place of a replica, in milliseconds. */
    double occupancyMillis(Candidate candidate, PlacementQuery query, long nowMillis) {
        if (query.prompt().isEmpty()) {
            return serviceMillis(candidate.tracker, nowMillis)
                    / Math.max(1, candidate.tracker.info().slots());
        }
        EngineSpeed speed = speed(query.service().name());
        return Math.max(
                1, speed.firstEventMillis(candidate.uncachedTokens) - speed.firstEventMillis(0));
    }

    private double serviceMillis(ReplicaTracker tracker, long nowMillis) {
        return awareness.active(nowMillis)
                ? tracker.serviceTime().expectedMillis()
                : ServiceTimes.INITIAL_MILLIS;
    }

    private static double lateness(double targetRatio) {
        double probability =
                (targetRatio - LATENESS_START_RATIO)
                        / (LATENESS_CERTAIN_RATIO - LATENESS_START_RATIO);
        return Math.min(1, Math.max(0, probability));
    }
}
