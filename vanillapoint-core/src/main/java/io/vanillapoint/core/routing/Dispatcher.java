package io.vanillapoint.core.routing;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.model.GatewayConfig;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.Vm;
import io.vanillapoint.api.plugin.UpstreamCandidate;
import io.vanillapoint.api.plugin.UpstreamChoice;
import io.vanillapoint.api.plugin.UpstreamPolicy;
import io.vanillapoint.core.hash.Rendezvous;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * Chooses the next destination of a request: an upstream of this region, else a VM of another
 * region that the customer permits and the request has not visited.
 *
 * <p>Invariant: every destination has passed {@link RouteGuard}. Confined to one thread.
 */
public final class Dispatcher {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

    private final RegionId region;
    private final UpstreamTable upstreams;
    private final UpstreamPolicy policy;
    private final LongSupplier random;
    private final SpillRule spill;
    private final RegionLoads loads = new RegionLoads();
    private GatewayConfig config = GatewayConfig.empty();
    private long choiceCount;

    /**
     * Creates a dispatcher.
     *
     * @param region region of this VM
     * @param upstreams state of the upstreams
     * @param policy choice among the upstreams of this region
     * @param random source of 64 random bits
     * @param spill when requests leave the region although its upstreams accept them
     */
    public Dispatcher(
            RegionId region,
            UpstreamTable upstreams,
            UpstreamPolicy policy,
            LongSupplier random,
            SpillRule spill) {
        this.region = region;
        this.upstreams = upstreams;
        this.policy = policy;
        this.random = random;
        this.spill = spill;
    }

    /**
     * Applies a configuration.
     *
     * @param newConfig configuration in force
     */
    public void configure(GatewayConfig newConfig) {
        config = newConfig;
        upstreams.configure(newConfig);
    }

    /**
     * Chooses the destination of a request.
     *
     * @param nowMillis monotonic time
     * @param query the request
     * @param isReachable whether a VM is believed to be reachable
     * @return the destination
     */
    public Dispatch choose(long nowMillis, DispatchQuery query, Predicate<Vm> isReachable) {
        if (RouteGuard.checkProcessing(query.customer(), region).isEmpty()) {
            List<UpstreamCandidate> local =
                    upstreams.candidates(nowMillis, query.target(), region, query.triedUpstreams());
            Optional<Vm> spilled = spill(nowMillis, query, local, isReachable);
            if (spilled.isPresent()) {
                return new Dispatch.ToVm(spilled.get());
            }
            if (!local.isEmpty()) {
                return new Dispatch.ToUpstream(chooseUpstream(query, local).upstream());
            }
        }
        return remoteVm(query, isReachable)
                .<Dispatch>map(Dispatch.ToVm::new)
                .orElseGet(() -> new Dispatch.Unavailable(noUpstream(query)));
    }

    /**
     * Loads of other regions.
     *
     * @return loads reported to this VM
     */
    public RegionLoads loads() {
        return loads;
    }

    /**
     * Regions to query for their load, since the upstreams of this region are busy.
     *
     * @param nowMillis monotonic time
     * @param query a request
     * @return regions that may run the request and were not queried recently
     */
    public List<RegionId> regionsToQuery(long nowMillis, DispatchQuery query) {
        double local = upstreams.lowestLoad(nowMillis, query.target(), region);
        if (!spill.isBusy(local) || query.path().isFull()) {
            return List.of();
        }
        return regions(remoteVms(query)).stream()
                .filter(other -> loads.beginQueryIfDue(nowMillis, query.target(), other))
                .toList();
    }

    /** Picks a VM of a less loaded region if this request should leave the region. */
    private Optional<Vm> spill(
            long nowMillis,
            DispatchQuery query,
            List<UpstreamCandidate> local,
            Predicate<Vm> isReachable) {
        double localLoad = local.stream().mapToDouble(UpstreamCandidate::load).min().orElse(0);
        if (!spill.isBusy(localLoad)) {
            return Optional.empty();
        }
        List<Vm> vms = remoteVms(query).stream().filter(isReachable).toList();
        Optional<RegionId> leastLoaded =
                regions(vms).stream()
                        .min(
                                Comparator.comparingDouble(
                                        other -> loads.load(nowMillis, query.target(), other)));
        if (leastLoaded.isEmpty()) {
            return Optional.empty();
        }
        double remoteLoad = loads.load(nowMillis, query.target(), leastLoaded.get());
        if (randomFraction() >= spill.spillFraction(localLoad, remoteLoad)) {
            return Optional.empty();
        }
        return pickRandom(
                vms.stream().filter(vm -> vm.region().equals(leastLoaded.get())).toList());
    }

    private UpstreamCandidate chooseUpstream(
            DispatchQuery query, List<UpstreamCandidate> candidates) {
        return policy.choose(
                new UpstreamChoice(
                        query.affinityKey(), choiceCount++, random.getAsLong(), candidates));
    }

    private Optional<Vm> remoteVm(DispatchQuery query, Predicate<Vm> isReachable) {
        List<Vm> eligible = remoteVms(query);
        List<Vm> reachable = eligible.stream().filter(isReachable).toList();
        List<Vm> candidates = reachable.isEmpty() ? eligible : reachable;
        return pickRegion(query, candidates)
                .flatMap(
                        chosen ->
                                pickRandom(
                                        candidates.stream()
                                                .filter(vm -> vm.region().equals(chosen))
                                                .toList()));
    }

    private List<Vm> remoteVms(DispatchQuery query) {
        List<Vm> eligible = new ArrayList<>();
        for (Vm vm : config.vms().values()) {
            boolean available = vm.state().acceptsRequests() && !query.triedVms().contains(vm.id());
            if (available && !vm.region().equals(region) && mayForward(query, vm)) {
                eligible.add(vm);
            }
        }
        return eligible;
    }

    private static Set<RegionId> regions(List<Vm> vms) {
        Set<RegionId> regions = new TreeSet<>();
        vms.forEach(vm -> regions.add(vm.region()));
        return regions;
    }

    /** Random number from 0 (inclusive) to 1 (exclusive). */
    private double randomFraction() {
        return (random.getAsLong() >>> 11) * 0x1.0p-53;
    }

    private boolean mayForward(DispatchQuery query, Vm vm) {
        return upstreams.isServedIn(query.target(), vm.region())
                && RouteGuard.checkForwarding(query.customer(), query.path(), vm.id(), vm.region())
                        .isEmpty();
    }

    private static Optional<RegionId> pickRegion(DispatchQuery query, List<Vm> vms) {
        return Rendezvous.pick(query.affinityKey(), regions(vms), RegionId::value);
    }

    private Optional<Vm> pickRandom(List<Vm> vms) {
        if (vms.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(vms.get((int) Math.floorMod(random.getAsLong(), (long) vms.size())));
    }

    private VanillapointException noUpstream(DispatchQuery query) {
        return VanillapointException.refusal(
                ErrorCode.NO_UPSTREAM,
                "expected an upstream for " + query.target() + " in a permitted region",
                RETRY_AFTER);
    }
}
