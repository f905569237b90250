package io.vanillapoint.core.upstream;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.fleet.FleetView;
import io.vanillapoint.core.fleet.UpstreamUse;
import io.vanillapoint.core.fleet.VmRoster;
import io.vanillapoint.core.hash.Rendezvous;
import io.vanillapoint.core.prompt.PromptShape;
import io.vanillapoint.core.prompt.SessionLocations;
import io.vanillapoint.core.published.EngineSpec;
import io.vanillapoint.core.published.UpstreamReplica;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses the replica, or the other region, with the lowest expected loss of a request's value: for
 * a late answer, for processing shared prompt parts again, or for sending its bytes to another
 * region.
 *
 * <p>Handles sessions with mostly shared prompts that arrive faster than engines could process them
 * without a prefix cache. Each session has a preferred engine by rendezvous hashing, so that all
 * VMs of a region agree without coordination, and moves only when the wait there costs more than
 * processing the prompt again elsewhere. Confined to one thread.
 */
public final class ReplicaChooser {
    /** Probability that this region's preferred engine has cached a session this VM never sent. */
    private static final double PREFERRED_HOLDS = 0.8;

    /** The same for another region, which receives fewer requests of the session. */
    private static final double REMOTE_PREFERRED_HOLDS = 0.1;

    /** Assumed processing time of a plain request. */
    private static final double PLAIN_WORK_MILLIS = 45;

    /** Wait for a slot of a full engine, about a tenth of the duration of a long answer. */
    private static final double SLOT_WAIT_MILLIS = 150;

    /** Part of the target at which answers begin to be late; at {@code LATE_PART} all are. */
    private static final double SAFE_PART = 0.55;

    private static final double LATE_PART = 1.15;

    /** Loss for a replica that failed all its recent requests. */
    private static final double FAILURE_LOSS = 0.8;

    /** Failure rate that services have in normal operation. */
    private static final double USUAL_FAILURES = 0.1;

    /** Loss per target of expected time, to prefer the faster of replicas that are all in time. */
    private static final double LOSS_PER_TARGET = 0.02;

    /** Loss for a full batch, in which each token takes longer than in an empty one. */
    private static final double LOSS_OF_FULL_BATCH = 0.02;

    /** Relative slowdown of a plain replica when all its slots are in use. */
    private static final double BUSY_SLOWDOWN = 0.3;

    /** Weight of the newest measurement in the smoothed round-trip time. */
    private static final double ROUND_TRIP_WEIGHT = 0.125;

    /** Retry delay after a refusal, if there is no better estimate. */
    private static final long RETRY_AFTER_MILLIS = 400;

    private final UpstreamPool pool;
    private final FleetView fleet;
    private final VmRoster roster;
    private final PlacementWeights weights;
    private final SessionLocations sessions;
    private final Map<String, EngineSpeed> speeds = new HashMap<>();
    private final Map<RegionId, Double> roundTrips = new HashMap<>();

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
        this.sessions = sessions;
    }

    /**
     * Speed estimate of a service's engines.
     *
     * @param service name of the service
     * @return the estimate, to be updated with first events
     */
    public EngineSpeed speed(String service) {
        return speeds.computeIfAbsent(service, unused -> new EngineSpeed());
    }

    /**
     * Updates the round-trip time to another region.
     *
     * @param region the region
     * @param millis measured time
     */
    public void roundTrip(RegionId region, long millis) {
        double known = roundTrips.getOrDefault(region, weights.regionRoundTripMillis());
        roundTrips.put(region, known + ROUND_TRIP_WEIGHT * (millis - known));
    }

    /**
     * Chooses the placement of a request.
     *
     * @param query the request
     * @param nowMillis steady time
     * @return the placement
     */
    public Placement choose(PlacementQuery query, long nowMillis) {
        Scored best = null;
        boolean published = false;
        List<String> holders =
                query.prompt().map(prompt -> sessions.holders(prompt, nowMillis)).orElse(List.of());
        List<ReplicaTracker> serving = pool.serving(query.service().name(), nowMillis);
        Set<String> preferred =
                query.prompt().map(prompt -> preferred(serving, query, prompt)).orElse(Set.of());
        Map<RegionId, Boolean> reached = new HashMap<>();
        for (ReplicaTracker tracker : serving) {
            boolean local = tracker.region().equals(fleet.self().region());
            if (!fits(tracker, query) || (!local && !query.mayRelay())) {
                continue;
            }
            published = true;
            boolean usable =
                    local
                            ? pool.takes(tracker, query.service(), roster, nowMillis)
                            : !tracker.cold(nowMillis)
                                    && reached.computeIfAbsent(
                                            tracker.region(),
                                            region -> fleet.reaches(region, nowMillis));
            if (!usable || query.tried().contains(tracker.info().id())) {
                continue;
            }
            Scored scored = score(tracker, local, query, preferred, holders);
            if (best == null || scored.loss < best.loss) {
                best = scored;
            }
        }
        if (best == null) {
            return refusal(published, query, nowMillis);
        }
        return placement(best, query, nowMillis);
    }

    /**
     * Time after which a replica may accept a request that was rejected.
     *
     * @param query the request
     * @param nowMillis steady time
     * @return milliseconds until the first backoff ends, 0 if a replica has none now
     */
    public long quietMillis(PlacementQuery query, long nowMillis) {
        long soonest = Long.MAX_VALUE;
        for (ReplicaTracker tracker : pool.serving(query.service().name(), nowMillis)) {
            boolean reached =
                    tracker.region().equals(fleet.self().region())
                            || (query.mayRelay() && fleet.reaches(tracker.region(), nowMillis));
            if (reached && fits(tracker, query)) {
                soonest = Math.min(soonest, tracker.quietLeftMillis(nowMillis));
            }
        }
        return soonest == Long.MAX_VALUE ? 0 : soonest;
    }

    private Placement refusal(boolean published, PlacementQuery query, long nowMillis) {
        long quiet = quietMillis(query, nowMillis);
        if (quiet > 0) {
            long wait = Math.max(RETRY_AFTER_MILLIS, quiet);
            return new Placement.Refuse(RefusalReason.REPLICAS_QUIET, wait);
        }
        RefusalReason reason =
                published ? RefusalReason.ALL_REPLICAS_BUSY : RefusalReason.NO_REPLICA;
        return new Placement.Refuse(reason, RETRY_AFTER_MILLIS);
    }

    private Placement placement(Scored best, PlacementQuery query, long nowMillis) {
        double late = query.route().targetMillis() * weights.refuseAtTargets();
        if (best.millis + query.elapsedMillis() > late || best.millis > query.remainingMillis()) {
            long wait = Math.max(RETRY_AFTER_MILLIS, (long) (best.millis / 2));
            return new Placement.Refuse(RefusalReason.TOO_LATE, wait);
        }
        if (best.local) {
            Optional<UpstreamReplica> source = cacheSource(best, query, nowMillis);
            return new Placement.Local(best.tracker, best.uncached, (long) best.millis, source);
        }
        return new Placement.Relay(best.tracker.region(), (long) best.millis);
    }

    private Scored score(
            ReplicaTracker tracker,
            boolean local,
            PlacementQuery query,
            Set<String> preferred,
            List<String> holders) {
        UpstreamUse use = tracker.use().plus(fleet.useElsewhere(tracker.info().id()));
        Scored scored = new Scored(tracker, local);
        if (query.prompt().isPresent()) {
            scoreEngine(scored, query, use, preferred, holders);
        } else {
            int queued = Math.max(0, use.requests() + 1 - Math.max(1, tracker.info().slots()));
            double waiting = (double) queued / Math.max(1, tracker.info().slots());
            double busy = (double) use.requests() / Math.max(1, tracker.info().slots());
            scored.millis = PLAIN_WORK_MILLIS * (1 + waiting + BUSY_SLOWDOWN * Math.min(1, busy));
        }
        if (!local) {
            scored.millis +=
                    roundTrips.getOrDefault(tracker.region(), weights.regionRoundTripMillis());
            scored.loss += weights.crossingPerKilobyte() * query.bodyBytes() / 1_000.0;
        }
        double part = (scored.millis + query.elapsedMillis()) / query.route().targetMillis();
        scored.loss += weights.late() * lateness(part);
        scored.loss += FAILURE_LOSS * Math.max(0, tracker.failureShare() - USUAL_FAILURES);
        scored.loss += LOSS_PER_TARGET * part;
        return scored;
    }

    private void scoreEngine(
            Scored scored,
            PlacementQuery query,
            UpstreamUse use,
            Set<String> preferred,
            List<String> holders) {
        PromptShape prompt = query.prompt().orElseThrow();
        ReplicaTracker tracker = scored.tracker;
        long shared = prompt.sharedTokens();
        long held = tracker.cached().cachedTokens(prompt);
        if (holders.contains(tracker.info().id())) {
            held = Math.max(held, shared);
        } else if (preferred.contains(tracker.info().id())) {
            double holds = scored.local ? PREFERRED_HOLDS : REMOTE_PREFERRED_HOLDS;
            held = Math.max(held, (long) (shared * holds));
        }
        scored.uncached = Math.max(0, prompt.promptTokens() - held);
        long ahead = use.promptTokens() + scored.uncached;
        scored.millis = speed(query.service().name()).firstEventMillis(ahead);
        int slots = query.service().engine().map(EngineSpec::slots).orElse(1);
        int beyond = use.requests() + 1 - slots;
        if (beyond > 0) {
            scored.millis += SLOT_WAIT_MILLIS * beyond;
        }
        double reread = Math.max(0, shared - held);
        scored.loss += weights.rereadPerKiloToken() * reread / 1_000.0;
        scored.loss += LOSS_OF_FULL_BATCH * use.requests() / Math.max(1, slots);
    }

    /**
     * Returns the replica from which the chosen one should copy the shared parts of the prompt: the
     * one that processed them last. Empty if the chosen one has them cached.
     */
    private Optional<UpstreamReplica> cacheSource(
            Scored best, PlacementQuery query, long nowMillis) {
        boolean copies = query.service().engine().filter(EngineSpec::copiesCache).isPresent();
        if (!copies || query.prompt().isEmpty()) {
            return Optional.empty();
        }
        List<String> holders = sessions.holders(query.prompt().get(), nowMillis);
        if (holders.contains(best.tracker.info().id())) {
            return Optional.empty();
        }
        return holders.stream()
                .flatMap(id -> pool.replica(id).stream())
                .filter(holder -> !holder.failing() && fits(holder, query))
                .filter(holder -> pool.maySend(holder, query.service(), nowMillis, nowMillis))
                .map(ReplicaTracker::info)
                .findFirst();
    }

    /**
     * Returns the engine of each region most likely to have cached a session this VM never sent.
     */
    private static Set<String> preferred(
            List<ReplicaTracker> serving, PlacementQuery query, PromptShape prompt) {
        long seed = Rendezvous.seed(prompt.affinityKey());
        Map<RegionId, ReplicaTracker> best = new HashMap<>();
        Map<RegionId, Long> weights = new HashMap<>();
        for (ReplicaTracker tracker : serving) {
            if (tracker.failing() || !fits(tracker, query)) {
                continue;
            }
            long weight = Rendezvous.seededWeight(seed, tracker.info().id());
            Long known = weights.get(tracker.region());
            if (known == null || Long.compareUnsigned(weight, known) > 0) {
                weights.put(tracker.region(), weight);
                best.put(tracker.region(), tracker);
            }
        }
        Set<String> ids = new HashSet<>();
        best.values().forEach(tracker -> ids.add(tracker.info().id()));
        return ids;
    }

    private static boolean fits(ReplicaTracker tracker, PlacementQuery query) {
        boolean model =
                query.prompt().isEmpty()
                        || tracker.info().models().isEmpty()
                        || tracker.info().models().contains(query.prompt().get().model());
        return model && query.regions().test(tracker.region());
    }

    private static double lateness(double part) {
        double likely = (part - SAFE_PART) / (LATE_PART - SAFE_PART);
        return Math.min(1, Math.max(0, likely));
    }

    /** A candidate replica with its expected loss. */
    private static final class Scored {
        private final ReplicaTracker tracker;
        private final boolean local;
        private double loss;
        private double millis;
        private long uncached;

        Scored(ReplicaTracker tracker, boolean local) {
            this.tracker = tracker;
            this.local = local;
        }
    }
}
