package io.vanillapoint.core.upstream;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.fleet.FleetView;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.fleet.VmRoster;
import io.vanillapoint.core.hash.Rendezvous;
import io.vanillapoint.core.prompt.PromptSummary;
import io.vanillapoint.core.prompt.SessionLocations;
import io.vanillapoint.core.published.EngineSpec;
import io.vanillapoint.core.published.UpstreamReplica;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Chooses the replica, or the other region, with the lowest expected loss of a request's value: for
 * a late response, for processing shared prompt parts again, or for sending its bytes to another
 * region.
 *
 * <p>Handles sessions with mostly shared prompts that arrive faster than engines could process them
 * without a prefix cache. Each session has a preferred engine by rendezvous hashing, so that all
 * VMs of a region agree without coordination, and moves only when the wait there costs more than
 * processing the prompt again elsewhere. Confined to one thread.
 */
public final class ReplicaChooser implements CapacityEstimator {
    /** One in this many replicas leaves fewer requests unanswered than is usual. */
    private static final int USUAL_PART = 3;

    /** Retry delay after a refusal, if there is no better estimate. */
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 400;

    private final UpstreamPool pool;
    private final FleetView fleet;
    private final VmRoster roster;
    private final PlacementWeights weights;
    private final SessionLocations sessions;
    private final RelayBackoff relayBackoff;
    private final LongPromptLimit longPromptLimit;
    private final ReplicaScorer scorer;
    private final CapacityForecast forecast = new CapacityForecast();
    private final SlotTenure slotTenure = new SlotTenure();
    private final RandomGenerator random;
    private int nextOwner;
    private int nextRegionVm;

    /**
     * Creates a chooser.
     *
     * @param pool replicas
     * @param fleet other VMs and their outstanding load
     * @param roster VMs that share the rate of a cold replica
     * @param weights costs of a placement
     * @param sessions which engines have processed which sessions
     */
    public ReplicaChooser(
            UpstreamPool pool,
            FleetView fleet,
            VmRoster roster,
            PlacementWeights weights,
            SessionLocations sessions) {
        this.pool = pool;
        this.fleet = fleet;
        this.roster = roster;
        this.weights = weights;
        longPromptLimit = new LongPromptLimit(fleet, pool.loadAwareness());
        scorer = new ReplicaScorer(fleet, weights, longPromptLimit, pool.loadAwareness());
        this.sessions = sessions;
        relayBackoff = new RelayBackoff(fleet);
        String process = fleet.self().vm() + fleet.self().incarnation();
        random = new SplittableRandom(Rendezvous.seed(process));
    }

    /**
     * Speed estimate of a service's engines.
     *
     * @param service name of the service
     * @return the estimate, to be updated with first events
     */
    public EngineSpeed speed(String service) {
        return scorer.speed(service);
    }

    /**
     * Order in which the engines of a service process requests.
     *
     * @param service name of the service
     * @return the estimate, to be updated with requests that are sent
     */
    public EngineQueue engineQueue(String service) {
        return scorer.engineQueue(service);
    }

    /**
     * Updates the round-trip time to another region.
     *
     * @param region the region
     * @param millis measured time
     */
    public void recordRoundTrip(RegionId region, long millis) {
        scorer.recordRoundTrip(region, millis);
    }

    /**
     * Smoothed round-trip time to the VMs of a region, from relayed requests.
     *
     * @param region the region
     * @return milliseconds, an assumed time if none was measured
     */
    public double roundTripMillis(RegionId region) {
        return scorer.roundTripMillis(region);
    }

    /**
     * Records that a request is relayed.
     *
     * @param service name of its service
     * @param region region that it is sent to
     * @param vm name of the VM that it is sent to
     * @param nowMillis monotonic time
     */
    public void relayed(String service, RegionId region, String vm, long nowMillis) {
        relayBackoff.relayed(service, backoffTarget(region, vm), nowMillis);
    }

    /**
     * Records that a VM had no replica for a relayed request.
     *
     * @param service name of the service
     * @param region region of the VM
     * @param vm name of the VM
     * @param nowMillis monotonic time
     */
    public void relayNotPlaced(String service, RegionId region, String vm, long nowMillis) {
        relayBackoff.notPlaced(service, backoffTarget(region, vm), vm, nowMillis);
    }

    /** VMs of this region are chosen one by one, those of another region as a whole. */
    private String backoffTarget(RegionId region, String vm) {
        return region.equals(fleet.self().region()) ? vm : region.value();
    }

    /**
     * Chooses the placement of a request.
     *
     * @param query the request
     * @param nowMillis monotonic time
     * @return the placement
     */
    public Placement choose(PlacementQuery query, long nowMillis) {
        List<ReplicaTracker> serving = pool.serving(query.service().name(), nowMillis);
        Search search = new Search(query, serving, nowMillis);
        serving.forEach(search::consider);
        return search.placement();
    }

    private OutlierFilter outlierFilter(
            PlacementQuery query, List<ReplicaTracker> serving, long nowMillis) {
        if (!pool.loadAwareness().active(nowMillis)) {
            return OutlierFilter.inactive(query);
        }
        return OutlierFilter.of(
                query,
                pool.failures(query.service().name()),
                serving,
                fleet.self().vm(),
                fleet.regionVmsWithRequests(nowMillis),
                nowMillis);
    }

    /** Tells whether a request is placed as if all replicas answered all requests. */
    private static boolean ignoresSilence(
            Placement placement, Candidate bestIfAnswering, PlacementQuery query) {
        return placement instanceof Placement.Refuse || isTrial(bestIfAnswering, query);
    }

    /**
     * Returns the rate of unanswered requests that the better third of the replicas does not
     * exceed. If all replicas are alike, small differences between them must not send all requests
     * to one.
     */
    private static double usualUnansweredRate(List<ReplicaTracker> serving) {
        double[] rates = serving.stream().mapToDouble(ReplicaTracker::unansweredRate).toArray();
        Arrays.sort(rates);
        return rates.length == 0 ? 0 : rates[rates.length / USUAL_PART];
    }

    /**
     * Tells whether a request goes to a replica that leaves requests unanswered, to find out
     * whether it still does. A request that was sent before has waited long enough.
     */
    private static boolean isTrial(Candidate candidate, PlacementQuery query) {
        if (candidate.path != PlacementPath.DIRECT || !query.tried().isEmpty()) {
            return false;
        }
        SilenceEvidence silence = candidate.tracker.silence();
        if (silence.trialDue()) {
            return true;
        }
        silence.passedOver();
        return false;
    }

    /**
     * Time after which a replica may accept a request that was rejected.
     *
     * @param query the request
     * @param nowMillis monotonic time
     * @return milliseconds until the first backoff ends, 0 if a replica has none now
     */
    public long backoffMillis(PlacementQuery query, long nowMillis) {
        long shortestMillis = Long.MAX_VALUE;
        for (ReplicaTracker tracker : pool.serving(query.service().name(), nowMillis)) {
            boolean reachable =
                    tracker.region().equals(fleet.self().region())
                            || (query.mayRelay() && fleet.isReachable(tracker.region(), nowMillis));
            if (reachable && eligibleFor(tracker, query)) {
                shortestMillis =
                        Math.min(shortestMillis, tracker.backoffRemainingMillis(nowMillis));
            }
        }
        return shortestMillis == Long.MAX_VALUE ? 0 : shortestMillis;
    }

    /**
     * Return times of refused requests, and the capacity that is reserved for them.
     *
     * @return the forecast of this VM
     */
    public CapacityForecast forecast() {
        return forecast;
    }

    /**
     * Longest expected time with which a request is placed.
     *
     * @param query the request
     * @return milliseconds since its caller sent it
     */
    public double longestMillis(PlacementQuery query) {
        return query.route().targetMillis() * weights.maxTargetMultiple();
    }

    @Override
    public CapacityEstimate estimate(PlacementQuery query, long nowMillis) {
        double earliestMillis = Double.MAX_VALUE;
        double requestsPerMilli = 0;
        for (ReplicaTracker tracker : pool.serving(query.service().name(), nowMillis)) {
            boolean local = tracker.region().equals(fleet.self().region());
            boolean reachable = local || fleet.isReachable(tracker.region(), nowMillis);
            if (tracker.failing() || !reachable || !eligibleFor(tracker, query)) {
                continue;
            }
            PlacementPath path = local ? PlacementPath.DIRECT : PlacementPath.OTHER_REGION;
            Candidate candidate =
                    scorer.score(tracker, path, query, Set.of(), List.of(), nowMillis);
            double availableMillis =
                    candidate.expectedMillis + tracker.backoffRemainingMillis(nowMillis);
            earliestMillis = Math.min(earliestMillis, availableMillis);
            requestsPerMilli += 1 / scorer.occupancyMillis(candidate, query, nowMillis);
        }
        return requestsPerMilli == 0
                ? new CapacityEstimate(DEFAULT_RETRY_AFTER_MILLIS, 1)
                : new CapacityEstimate(
                        Math.max(0, earliestMillis - longestMillis(query)), 1 / requestsPerMilli);
    }

    /**
     * Time for which this VM must back off from a replica of this region that rejected a request
     * without asking for a time itself.
     *
     * @param tracker the replica
     * @param nowMillis monotonic time
     * @return milliseconds, empty if its rejections are not limited
     */
    public OptionalLong rejectionBackoffMillis(ReplicaTracker tracker, long nowMillis) {
        String service = tracker.info().service();
        int senders =
                slotOwners(service, nowMillis).map(owners -> owners.maxSenders(tracker)).orElse(0);
        return pool.rejectionBackoffMillis(tracker, senders, nowMillis);
    }

    private Optional<SlotOwners> slotOwners(String service, long nowMillis) {
        if (!pool.limitsRejections(service, nowMillis)) {
            return Optional.empty();
        }
        List<ReplicaTracker> local =
                pool.serving(service, nowMillis).stream()
                        .filter(tracker -> tracker.region().equals(fleet.self().region()))
                        .toList();
        return Optional.of(SlotOwners.of(local, fleet, roster, slotTenure, nowMillis));
    }

    private Placement relayToOwner(List<MemberInfo> owners) {
        MemberInfo owner = owners.get(Math.floorMod(nextOwner++, owners.size()));
        return new Placement.Relay(
                owner.region(), (long) ServiceTimes.INITIAL_MILLIS, Set.of(), Optional.of(owner));
    }

    /**
     * Returns the replica from which the chosen one should copy the shared parts of the prompt: the
     * one that processed them last. Empty if the chosen one has them cached.
     */
    private Optional<UpstreamReplica> cacheSource(
            Candidate best, PlacementQuery query, long nowMillis) {
        boolean copiesCache = query.service().engine().filter(EngineSpec::copiesCache).isPresent();
        if (!copiesCache || query.prompt().isEmpty()) {
            return Optional.empty();
        }
        List<String> cachingEngines = sessions.enginesCaching(query.prompt().get(), nowMillis);
        if (cachingEngines.contains(best.tracker.info().id())) {
            return Optional.empty();
        }
        return cachingEngines.stream()
                .flatMap(id -> pool.replica(id).stream())
                .filter(engine -> !engine.failing() && eligibleFor(engine, query))
                .filter(engine -> pool.maySend(engine, query.service(), nowMillis, nowMillis))
                .map(ReplicaTracker::info)
                .findFirst();
    }

    /** Returns the engine of each region most likely to cache a session that is new to this VM. */
    private static Set<String> preferredEngines(
            List<ReplicaTracker> serving,
            PlacementQuery query,
            PromptSummary prompt,
            OutlierFilter outliers) {
        long seed = Rendezvous.seed(prompt.affinityKey());
        Map<RegionId, ReplicaTracker> best = new HashMap<>();
        Map<RegionId, Long> weights = new HashMap<>();
        for (ReplicaTracker tracker : serving) {
            boolean avoided = tracker.failing() || outliers.avoids(tracker);
            if (avoided || !eligibleFor(tracker, query)) {
                continue;
            }
            long weight = Rendezvous.seededWeight(seed, tracker.info().id());
            Long highest = weights.get(tracker.region());
            if (highest == null || Long.compareUnsigned(weight, highest) > 0) {
                weights.put(tracker.region(), weight);
                best.put(tracker.region(), tracker);
            }
        }
        Set<String> ids = new HashSet<>();
        best.values().forEach(tracker -> ids.add(tracker.info().id()));
        return ids;
    }

    private static boolean eligibleFor(ReplicaTracker tracker, PlacementQuery query) {
        boolean modelAvailable =
                query.prompt().isEmpty()
                        || tracker.info().models().isEmpty()
                        || tracker.info().models().contains(query.prompt().get().model());
        return modelAvailable && query.regions().test(tracker.region());
    }

    /** The search of a place for one request. Valid for one moment. */
    private final class Search {
        private final PlacementQuery query;
        private final long nowMillis;
        private final List<String> cachingEngines;
        private final Set<String> preferred;
        private final double usualRate;
        private final OutlierFilter outliers;
        private final Optional<SlotOwners> slotOwners;
        private final RegionRelay regionRelay;
        private final boolean pathLost;
        private final Map<RegionId, Boolean> openRegions = new HashMap<>();

        /** Replicas that other VMs reach for this one, by region. */
        private final Map<RegionId, Set<String>> reachedByOthers = new HashMap<>();

        private final List<MemberInfo> relayOwners = new ArrayList<>();
        private final NearTies nearTies = new NearTies(random);
        private boolean anyEligible;
        private boolean anyInRegion;
        private boolean anyInReach;
        private Candidate best;
        private Candidate bestIfAnswering;

        Search(PlacementQuery query, List<ReplicaTracker> serving, long nowMillis) {
            this.query = query;
            this.nowMillis = nowMillis;
            String service = query.service().name();
            outliers = outlierFilter(query, serving, nowMillis);
            cachingEngines =
                    query.prompt()
                            .map(prompt -> sessions.enginesCaching(prompt, nowMillis))
                            .orElse(List.of());
            preferred =
                    query.prompt()
                            .map(prompt -> preferredEngines(serving, query, prompt, outliers))
                            .orElse(Set.of());
            usualRate = usualUnansweredRate(serving);
            slotOwners = slotOwners(service, nowMillis);
            longPromptLimit.refresh(nowMillis);
            regionRelay = new RegionRelay(fleet, relayBackoff, query, nowMillis);
            pathLost = pool.pathLost(service, fleet.self().region());
        }

        void consider(ReplicaTracker tracker) {
            boolean local = tracker.region().equals(fleet.self().region());
            if (!eligibleFor(tracker, query) || (!local && !query.mayRelay())) {
                return;
            }
            anyEligible = true;
            if (local) {
                anyInRegion = true;
                anyInReach |= !pathLost && !tracker.outOfReach(nowMillis);
            }
            Optional<PlacementPath> path =
                    local ? pathInRegion(tracker) : pathToOtherRegion(tracker);
            if (path.isEmpty()) {
                return;
            }
            if (path.get() != PlacementPath.DIRECT) {
                reachedByOthers
                        .computeIfAbsent(tracker.region(), unused -> new HashSet<>())
                        .add(tracker.info().id());
            }
            Candidate candidate =
                    scorer.score(tracker, path.get(), query, preferred, cachingEngines, nowMillis);
            candidate.addSilenceLoss(usualRate);
            if (outliers.rejects(candidate)) {
                return;
            }
            if (outliers.active()) {
                nearTies.add(candidate);
            }
            if (best == null || candidate.loss < best.loss) {
                best = candidate;
            }
            if (bestIfAnswering == null
                    || candidate.lossIfAnswering() < bestIfAnswering.lossIfAnswering()) {
                bestIfAnswering = candidate;
            }
        }

        private Optional<PlacementPath> pathInRegion(ReplicaTracker tracker) {
            if (slotOwners.isEmpty() && regionRelay.reaches(tracker, pathLost)) {
                return Optional.of(PlacementPath.REGION_VM);
            }
            if (query.tried().contains(tracker.info().id())) {
                return Optional.empty();
            }
            // The relaying VM can choose another VM, which reaches the replica.
            boolean relayedInVain = pathLost && !query.mayRelay();
            boolean usable =
                    !relayedInVain && pool.maySelect(tracker, query.service(), roster, nowMillis);
            if (slotOwners.isPresent()) {
                usable &= slotOwners.get().hasRoom(tracker);
                if (!usable && query.mayRelay() && !tracker.mayBeCold(nowMillis)) {
                    relayOwners.addAll(slotOwners.get().others(tracker));
                }
            }
            return usable ? Optional.of(PlacementPath.DIRECT) : Optional.empty();
        }

        private Optional<PlacementPath> pathToOtherRegion(ReplicaTracker tracker) {
            String id = tracker.info().id();
            RegionId region = tracker.region();
            boolean usable =
                    !query.tried().contains(id)
                            && !tracker.cold(nowMillis)
                            && openRegions.computeIfAbsent(region, this::mayRelayTo)
                            && fleet.reach().reachedIn(region, id, nowMillis);
            return usable ? Optional.of(PlacementPath.OTHER_REGION) : Optional.empty();
        }

        private boolean mayRelayTo(RegionId region) {
            return fleet.isReachable(region, nowMillis)
                    && !relayBackoff.active(query.service().name(), region.value(), nowMillis);
        }

        Placement placement() {
            boolean ownerTried =
                    relayOwners.stream().anyMatch(vm -> query.tried().contains(vm.vm()));
            boolean direct = best != null && best.path == PlacementPath.DIRECT;
            if (!direct && !relayOwners.isEmpty() && !ownerTried) {
                return relayToOwner(relayOwners);
            }
            if (best == null) {
                best = outliers.bestRejected();
                bestIfAnswering = best;
            }
            if (best == null) {
                return refusal();
            }
            if (outliers.trial() != null
                    && placement(outliers.trial()) instanceof Placement.Local trial) {
                return trial;
            }
            if (best == bestIfAnswering) {
                best = nearTies.choose(best);
                bestIfAnswering = best;
            }
            Placement placement = placement(best);
            boolean silenceIgnored =
                    bestIfAnswering != best && ignoresSilence(placement, bestIfAnswering, query);
            return silenceIgnored ? placement(bestIfAnswering) : placement;
        }

        private Placement refusal() {
            long backoffMillis = backoffMillis(query, nowMillis);
            if (backoffMillis > 0) {
                long retryAfterMillis = Math.max(DEFAULT_RETRY_AFTER_MILLIS, backoffMillis);
                return new Placement.Refuse(RefusalReason.REPLICAS_QUIET, retryAfterMillis);
            }
            RefusalReason reason = RefusalReason.NO_REPLICA;
            if (anyInRegion && !anyInReach) {
                reason = RefusalReason.REPLICAS_UNREACHABLE;
            } else if (anyEligible) {
                reason = RefusalReason.ALL_REPLICAS_BUSY;
            }
            return new Placement.Refuse(reason, DEFAULT_RETRY_AFTER_MILLIS);
        }

        private Placement placement(Candidate candidate) {
            long expectedMillis = (long) candidate.expectedMillis;
            double maxMillis = longestMillis(query);
            LongPromptLimit.Verdict verdict = longPromptLimit.judge(query, candidate, nowMillis);
            if (verdict == LongPromptLimit.Verdict.REFUSE) {
                long retryAfterMillis = Math.max(DEFAULT_RETRY_AFTER_MILLIS, expectedMillis / 2);
                return new Placement.Refuse(RefusalReason.LONG_PROMPT_LIMIT, retryAfterMillis);
            }
            boolean tooLate =
                    verdict == LongPromptLimit.Verdict.PLACE
                            && candidate.expectedMillis + query.elapsedMillis() > maxMillis;
            if (tooLate || candidate.expectedMillis > query.remainingMillis()) {
                long retryAfterMillis = Math.max(DEFAULT_RETRY_AFTER_MILLIS, expectedMillis / 2);
                return new Placement.Refuse(RefusalReason.TOO_LATE, retryAfterMillis);
            }
            longPromptLimit.placed(query, nowMillis);
            ReplicaTracker tracker = candidate.tracker;
            Set<String> replicas = reachedByOthers.getOrDefault(tracker.region(), Set.of());
            return switch (candidate.path) {
                case DIRECT ->
                        new Placement.Local(
                                tracker,
                                candidate.uncachedTokens,
                                expectedMillis,
                                cacheSource(candidate, query, nowMillis));
                case REGION_VM -> {
                    List<MemberInfo> vms = regionRelay.vms(replicas);
                    MemberInfo vm = vms.get(Math.floorMod(nextRegionVm++, vms.size()));
                    yield new Placement.Relay(
                            tracker.region(), expectedMillis, Set.of(), Optional.of(vm));
                }
                case OTHER_REGION ->
                        new Placement.Relay(
                                tracker.region(), expectedMillis, replicas, Optional.empty());
            };
        }
    }
}
