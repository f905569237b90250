package io.vanillapoint.core.upstream;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.fleet.FleetReport;
import io.vanillapoint.core.fleet.SilenceCounts;
import io.vanillapoint.core.fleet.UpstreamSignals;
import io.vanillapoint.core.fleet.UpstreamUse;
import io.vanillapoint.core.fleet.VmRoster;
import io.vanillapoint.core.prompt.PrefixCacheBudget;
import io.vanillapoint.core.prompt.PrefixCacheModel;
import io.vanillapoint.core.published.ServiceSpec;
import io.vanillapoint.core.published.UpstreamReplica;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Published replicas by service, and which of them may receive requests.
 *
 * <p>Invariants: no request goes to a replica that is in an evacuated zone, has announced that it
 * leaves, has requested a backoff, or whose entry has been removed for longer than the grace time.
 * A cold replica, or one that may have restarted, receives requests only from its owners and only
 * at their part of its rate, and none from a process that can't know yet whether it is an owner.
 * Exception: where probes tell nothing, a VM that has not sent to a failing replica for seconds
 * tries it in its turn. Confined to one thread.
 */
public final class UpstreamPool {
    /**
     * VMs that may send to one cold replica. With a burst of one request each, their sum stays
     * below the smallest rate that operators allow for a cold replica, 3.5 requests.
     */
    static final int COLD_OWNERS = 3;

    /** Replicas that fail together before the path to them is suspected. */
    private static final int PATH_LOST_REPLICAS = 2;

    /** Entries that lapsed while the store was unavailable are back within this time. */
    private static final long REMOVED_GRACE_MILLIS = 2_000;

    private final Map<ZoneId, RegionId> regions;
    private final Map<String, ReplicaTracker> replicas = new HashMap<>();
    private final Map<String, List<ReplicaTracker>> index = new HashMap<>();

    /** True if replicas were added or dropped since the index was built. */
    private boolean indexOutdated;

    private final Map<String, ResponseTimes> responseTimes = new HashMap<>();
    private final Map<String, ServiceFailures> failures = new HashMap<>();
    private final Set<ZoneId> evacuated = new HashSet<>();
    private final RejectionLimits rejectionLimits = new RejectionLimits();
    private final Map<String, ServiceTimes> serviceTimes = new HashMap<>();
    private final LoadAwareness loadAwareness = new LoadAwareness();
    private final PrefixCacheBudget prefixCaches =
            new PrefixCacheBudget(PrefixCacheBudget.LIMIT_BYTES);

    /**
     * Creates an empty pool.
     *
     * @param regions region of each zone
     */
    public UpstreamPool(Map<ZoneId, RegionId> regions) {
        this.regions = Map.copyOf(regions);
    }

    /**
     * Adds or updates a replica from its published entry.
     *
     * @param info the replica
     * @param service its service if configured, for the size of its cache
     * @param nowMillis monotonic time
     * @return the tracker, or nothing if its zone is unknown
     */
    public Optional<ReplicaTracker> publish(
            UpstreamReplica info, Optional<ServiceSpec> service, long nowMillis) {
        RegionId region = regions.get(info.zone());
        if (region == null) {
            return Optional.empty();
        }
        ReplicaTracker existing = replicas.get(info.id());
        if (existing != null && existing.info().service().equals(info.service())) {
            existing.update(info, nowMillis);
            return Optional.of(existing);
        }
        long cacheTokens =
                service.flatMap(ServiceSpec::engine).map(engine -> engine.cacheTokens()).orElse(0L);
        ReplicaTracker tracker =
                new ReplicaTracker(
                        info,
                        region,
                        new PrefixCacheModel(cacheTokens, prefixCaches),
                        responseTimes.computeIfAbsent(
                                info.service(), unused -> new ResponseTimes()),
                        failures(info.service()),
                        serviceTimes.computeIfAbsent(info.service(), unused -> new ServiceTimes()),
                        nowMillis);
        replicas.put(info.id(), tracker);
        if (existing != null) {
            existing.prefixCache().close();
        }
        indexOutdated = true;
        return Optional.of(tracker);
    }

    /**
     * Tells whether a zone is part of the fleet.
     *
     * @param zone the zone
     * @return false if the settings name no region for it
     */
    public boolean knowsZone(ZoneId zone) {
        return regions.containsKey(zone);
    }

    /**
     * Records that a replica's entry was removed.
     *
     * @param id id of the replica
     * @param mayReturn true if the entry may have lapsed only because the store was unavailable
     * @param nowMillis monotonic time
     */
    public void remove(String id, boolean mayReturn, long nowMillis) {
        ReplicaTracker tracker = replicas.get(id);
        if (tracker != null) {
            tracker.removed(mayReturn, nowMillis);
        }
    }

    /**
     * Starts or ends the evacuation of a zone.
     *
     * @param zone the zone; ignored if it is not part of the fleet
     * @param active true to start, false to end
     */
    public void evacuate(ZoneId zone, boolean active) {
        if (active && knowsZone(zone)) {
            evacuated.add(zone);
        } else {
            evacuated.remove(zone);
        }
    }

    /**
     * Drops replicas whose removal is past the grace time and that have nothing outstanding.
     *
     * @param nowMillis monotonic time
     */
    public void prune(long nowMillis) {
        Iterator<ReplicaTracker> all = replicas.values().iterator();
        while (all.hasNext()) {
            ReplicaTracker tracker = all.next();
            boolean unused =
                    tracker.removedAtMillis() < nowMillis - REMOVED_GRACE_MILLIS
                            && tracker.idle()
                            && !tracker.hasReportedState(nowMillis);
            if (unused) {
                tracker.prefixCache().close();
                all.remove();
                indexOutdated = true;
            }
        }
    }

    /**
     * Finds a replica.
     *
     * @param id its id
     * @return the tracker
     */
    public Optional<ReplicaTracker> replica(String id) {
        return Optional.ofNullable(replicas.get(id));
    }

    /**
     * All replicas.
     *
     * @return view of the replicas
     */
    public Collection<ReplicaTracker> replicas() {
        return replicas.values();
    }

    /**
     * Services that have replicas.
     *
     * @return new set of names
     */
    public Set<String> services() {
        return Set.copyOf(byService().keySet());
    }

    /**
     * Replicas of a service that may receive requests, regardless of cold starts and failures.
     *
     * @param service name of the service
     * @param nowMillis monotonic time
     * @return new list
     */
    public List<ReplicaTracker> serving(String service, long nowMillis) {
        List<ReplicaTracker> serving = new ArrayList<>();
        for (ReplicaTracker tracker : byService().getOrDefault(service, List.of())) {
            if (serves(tracker, nowMillis)) {
                serving.add(tracker);
            }
        }
        return serving;
    }

    /**
     * Tells whether a replica may receive requests, regardless of cold starts and failures.
     *
     * @param tracker the replica
     * @param nowMillis monotonic time
     * @return false if it leaves or its zone is evacuated
     */
    public boolean serves(ReplicaTracker tracker, long nowMillis) {
        return !evacuated.contains(tracker.info().zone()) && !leaving(tracker, nowMillis);
    }

    /**
     * Tells whether a request that was placed earlier may still be sent.
     *
     * @param tracker the replica
     * @param service its service
     * @param placedAtMillis monotonic time at which it was placed
     * @param nowMillis monotonic time
     * @return false if the replica has meanwhile left, been evacuated or requested a backoff, or if
     *     it is cold and the request has waited too long
     */
    public boolean maySend(
            ReplicaTracker tracker, ServiceSpec service, long placedAtMillis, long nowMillis) {
        return serves(tracker, nowMillis)
                && !tracker.inBackoff(nowMillis)
                && (service.coldPerSecond() <= 0
                        || tracker.coldAdmissionValid(placedAtMillis, nowMillis));
    }

    /**
     * Tells whether this VM may send a request to a replica now.
     *
     * @param tracker a serving replica
     * @param service its service
     * @param roster VMs that share the rate of a cold replica
     * @param nowMillis monotonic time
     * @return false if it is cold and this VM's part of its rate is used up, if it is ejected, or
     *     if it has requested a backoff
     */
    public boolean maySelect(
            ReplicaTracker tracker, ServiceSpec service, VmRoster roster, long nowMillis) {
        if (tracker.ejected(nowMillis) || tracker.backoffRemainingMillis(nowMillis) > 0) {
            return false;
        }
        if (!tracker.mayBeCold(nowMillis) || service.coldPerSecond() <= 0) {
            return true;
        }
        int rank = roster.rank(tracker.info().id());
        boolean owner = rank < COLD_OWNERS && roster.settled(nowMillis);
        return tracker.mayProbe(rank, nowMillis)
                || (owner
                        && tracker.coldGateHasToken(
                                service.coldPerSecond() / COLD_OWNERS, nowMillis));
    }

    /**
     * Records that a replica announced how many rejections in a second it survives.
     *
     * @param tracker the replica; the limit holds for all replicas of its service
     * @param perSecond the limit
     * @param nowMillis monotonic time
     * @return true if the limit is new or has changed
     */
    public boolean recordRejectionLimit(ReplicaTracker tracker, int perSecond, long nowMillis) {
        return rejectionLimits.announced(tracker.info().service(), perSecond, nowMillis);
    }

    /**
     * Records the rejection limits that another VM of the region reports, of services that have
     * replicas here.
     *
     * @param limits rejections in a second that a replica survives, by service
     * @param nowMillis monotonic time
     */
    public void mergeRejectionLimits(Map<String, Integer> limits, long nowMillis) {
        if (limits.isEmpty()) {
            return;
        }
        Map<String, Integer> known = new HashMap<>(limits);
        known.keySet().retainAll(byService().keySet());
        rejectionLimits.merge(known, nowMillis);
    }

    /**
     * Rejection limits that replicas have announced to this VM, for the heartbeat.
     *
     * @param nowMillis monotonic time
     * @return new map of rejections in a second that a replica survives, by service
     */
    public Map<String, Integer> receivedRejectionLimits(long nowMillis) {
        return rejectionLimits.received(nowMillis);
    }

    /**
     * Time for which this VM must back off from a replica that rejected a request without asking
     * for a time itself.
     *
     * @param tracker the replica
     * @param senders maximum number of VMs that share the limit
     * @param nowMillis monotonic time
     * @return milliseconds, empty if its rejections are not limited
     */
    OptionalLong rejectionBackoffMillis(ReplicaTracker tracker, int senders, long nowMillis) {
        return rejectionLimits.backoffMillis(tracker.info().service(), senders, nowMillis);
    }

    /**
     * Tells whether the replicas of a service announce a limit for their rejections.
     *
     * @param service name of the service
     * @param nowMillis monotonic time
     * @return true while a limit is in force
     */
    boolean limitsRejections(String service, long nowMillis) {
        return rejectionLimits.limit(service, nowMillis).isPresent();
    }

    /**
     * This VM's outstanding load by replica, for the heartbeat.
     *
     * @return new map without idle replicas
     */
    public Map<String, UpstreamUse> outstandingByReplica() {
        Map<String, UpstreamUse> uses = new HashMap<>();
        for (ReplicaTracker tracker : replicas.values()) {
            if (!tracker.idle()) {
                uses.put(tracker.info().id(), tracker.outstanding());
            }
        }
        return uses;
    }

    /**
     * Replicas of a region that this VM can't reach at present, for the heartbeat.
     *
     * @param region the region
     * @param nowMillis monotonic time
     * @return new set of the ids of serving replicas
     */
    public Set<String> unreachable(RegionId region, long nowMillis) {
        Set<String> ids = new HashSet<>();
        Map<String, Boolean> pathsLost = new HashMap<>();
        for (ReplicaTracker tracker : replicas.values()) {
            boolean outOfReach =
                    tracker.outOfReach(nowMillis)
                            || pathsLost.computeIfAbsent(
                                    tracker.info().service(), service -> pathLost(service, region));
            if (outOfReach && tracker.region().equals(region) && serves(tracker, nowMillis)) {
                ids.add(tracker.info().id());
            }
        }
        return ids;
    }

    /**
     * Tells whether this VM has probably lost its paths to all replicas of a service in a region:
     * connections to several fail, and none has answered a request sent since.
     *
     * @param service name of the service
     * @param region the region
     * @return false once a replica answers
     */
    public boolean pathLost(String service, RegionId region) {
        return replicasFailingAlone(service, region) >= PATH_LOST_REPLICAS;
    }

    /**
     * Replicas that should be probed although they don't fail, since no connection to others of the
     * same service and region opens at present.
     *
     * @return new list
     */
    List<ReplicaTracker> onSuspectedPaths() {
        List<ReplicaTracker> suspected = new ArrayList<>();
        for (Map.Entry<String, List<ReplicaTracker>> service : byService().entrySet()) {
            Set<RegionId> failing = new HashSet<>();
            for (ReplicaTracker tracker : service.getValue()) {
                if (tracker.connectionsFailSince().isPresent()) {
                    failing.add(tracker.region());
                }
            }
            failing.removeIf(region -> replicasFailingAlone(service.getKey(), region) == 0);
            for (ReplicaTracker tracker : service.getValue()) {
                if (failing.contains(tracker.region())) {
                    suspected.add(tracker);
                }
            }
        }
        return suspected;
    }

    /**
     * Number of replicas to which connections fail, 0 if any replica has answered a request that
     * was sent since the first failure.
     */
    private int replicasFailingAlone(String service, RegionId region) {
        int failing = 0;
        long failSinceMillis = Long.MAX_VALUE;
        long reachedMillis = Long.MIN_VALUE;
        for (ReplicaTracker tracker : byService().getOrDefault(service, List.of())) {
            if (!tracker.region().equals(region)) {
                continue;
            }
            reachedMillis = Math.max(reachedMillis, tracker.lastReachedMillis());
            OptionalLong since = tracker.connectionsFailSince();
            if (since.isPresent()) {
                failing++;
                failSinceMillis = Math.min(failSinceMillis, since.getAsLong());
            }
        }
        return reachedMillis < failSinceMillis ? failing : 0;
    }

    /**
     * Replicas that leave requests of this VM unanswered, for the heartbeat.
     *
     * @param nowMillis monotonic time
     * @return new map of what was counted, by replica id
     */
    public Map<String, SilenceCounts> silences(long nowMillis) {
        Map<String, SilenceCounts> silences = new HashMap<>();
        for (ReplicaTracker tracker : replicas.values()) {
            tracker.silence()
                    .counts(nowMillis)
                    .ifPresent(counts -> silences.put(tracker.info().id(), counts));
        }
        return silences;
    }

    /**
     * Processes what another VM reports of replicas that leave its requests unanswered.
     *
     * @param report heartbeat of the VM
     * @param nowMillis monotonic time
     */
    public void mergeSilences(FleetReport report, long nowMillis) {
        for (ReplicaTracker tracker : replicas.values()) {
            String id = tracker.info().id();
            if (report.page().covers(id)) {
                SilenceCounts counts = report.silences().getOrDefault(id, SilenceCounts.NONE);
                tracker.silence().merge(report, counts, nowMillis);
            }
        }
    }

    /**
     * What this VM has observed of replicas, for the heartbeat.
     *
     * @param nowMillis monotonic time
     * @return new map by replica id, empty while load-aware placement is inactive
     */
    public Map<String, UpstreamSignals> signals(long nowMillis) {
        Map<String, UpstreamSignals> signals = new HashMap<>();
        if (!loadAwareness.active(nowMillis)) {
            return signals;
        }
        for (ReplicaTracker tracker : replicas.values()) {
            UpstreamSignals observed = tracker.signals(nowMillis);
            if (!observed.equals(UpstreamSignals.NONE)) {
                signals.put(tracker.info().id(), observed);
            }
        }
        return signals;
    }

    /**
     * Processes what another VM of the region has observed of replicas.
     *
     * @param report heartbeat of the VM
     * @param nowMillis monotonic time
     */
    public void mergeSignals(FleetReport report, long nowMillis) {
        for (ReplicaTracker tracker : replicas.values()) {
            String id = tracker.info().id();
            if (report.page().covers(id)) {
                UpstreamSignals observed = report.signals().getOrDefault(id, UpstreamSignals.NONE);
                observed.slowdown().ifPresent(ignored -> loadAwareness.slowdownReported(nowMillis));
                tracker.mergeSignals(report, observed, nowMillis);
            }
        }
    }

    /**
     * Records the load that a replica has reported to this VM.
     *
     * @param tracker the replica
     * @param report its report
     * @param nowMillis monotonic time
     */
    public void recordLoad(ReplicaTracker tracker, LoadReport report, long nowMillis) {
        tracker.load().reported(report, nowMillis);
        if (report.slowdownPercent().isPresent()) {
            loadAwareness.slowdownReported(nowMillis);
        }
    }

    /**
     * Failure rate that the better replicas of a service have.
     *
     * @param service name of the service
     * @return from 0 to 1
     */
    public double usualFailureRate(String service) {
        return failures(service).usualRate();
    }

    /** Usual failure rate of a service. */
    ServiceFailures failures(String service) {
        return failures.computeIfAbsent(service, unused -> new ServiceFailures());
    }

    /**
     * Whether placement takes the load of replicas into account.
     *
     * @return the decision, updated with the configuration and with reports of replicas
     */
    public LoadAwareness loadAwareness() {
        return loadAwareness;
    }

    /**
     * Memory for what is known of the replicas' prefix caches.
     *
     * @return the budget, shared by all replicas
     */
    public PrefixCacheBudget prefixCaches() {
        return prefixCaches;
    }

    private static boolean leaving(ReplicaTracker tracker, long nowMillis) {
        boolean removed = tracker.removedAtMillis() <= nowMillis;
        boolean graceExpired = tracker.removedAtMillis() < nowMillis - REMOVED_GRACE_MILLIS;
        return tracker.draining() || (removed && !tracker.mayReturn()) || graceExpired;
    }

    /** Replicas by the name of their service. Many may be added between two look-ups. */
    private Map<String, List<ReplicaTracker>> byService() {
        if (indexOutdated) {
            index.clear();
            for (ReplicaTracker tracker : replicas.values()) {
                index.computeIfAbsent(tracker.info().service(), unused -> new ArrayList<>())
                        .add(tracker);
            }
            indexOutdated = false;
        }
        return index;
    }
}
