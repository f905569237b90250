package io.vanillapoint.core.fleet;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.fleet.TrafficVmSelector.VmLoad;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Membership of the entry VMs, derived from heartbeats alone.
 *
 * <p>Invariants: this VM is not one of its own members; a VM that has not been heard of, directly
 * or through others, for longer than the suspicion time is not returned to callers; a report never
 * replaces one of a later incarnation or sequence. Confined to one thread.
 */
public final class FleetView {
    /**
     * Number of consecutive heartbeats that may be lost before a VM of a large fleet is suspected.
     */
    private static final int SUSPECT_INTERVALS = 3;

    /**
     * In a large fleet, the silence limit of a region is multiplied by this factor times the rounds
     * between two heartbeats of a VM, divided by the number of VMs in the region. About eight
     * heartbeats from the region are then due within the limit, whenever its VMs send.
     */
    private static final double REGION_SILENCE_FACTOR = 3.2;

    private final FleetTiming timing;
    private final int minFleetSize;
    private final Map<String, Member> members = new HashMap<>();
    private final Map<RegionId, Integer> regionSizes = new HashMap<>();
    private final Map<RegionId, Long> regionLastReportMillis = new HashMap<>();

    private final OtherVmUse otherVmUse = new OtherVmUse();
    private final ReplicaReach reach = new ReplicaReach(this);

    private MemberInfo self;
    private int sameRegionMembers;
    private long sequence;
    private int selfLoad;
    private long selfDrainingSinceMillis = Long.MIN_VALUE / 2;
    private long membersVersion;

    /**
     * Creates a view that contains only this VM.
     *
     * @param self this VM
     * @param timing intervals and timeouts of the protocol
     * @param minFleetSize minimum number of VMs of the fleet, from the settings
     */
    public FleetView(MemberInfo self, FleetTiming timing, int minFleetSize) {
        this.self = self;
        this.timing = timing;
        this.minFleetSize = minFleetSize;
    }

    /**
     * This VM.
     *
     * @return what it reports about itself
     */
    public MemberInfo self() {
        return self;
    }

    /**
     * Which VMs reach which replicas.
     *
     * @return live view, by the heartbeats received
     */
    public ReplicaReach reach() {
        return reach;
    }

    /**
     * All other VMs that are part of the fleet, suspected ones included.
     *
     * @return live view of the members
     */
    public Collection<Member> members() {
        return members.values();
    }

    /** Increases whenever a VM joins or leaves. */
    long membersVersion() {
        return membersVersion;
    }

    /**
     * Tells whether a VM is part of the fleet.
     *
     * @param vm name of the VM
     * @return false if it was never heard of or has been removed
     */
    public boolean knows(String vm) {
        return members.containsKey(vm);
    }

    /**
     * Changes the life cycle state of this VM.
     *
     * @param state new state
     * @param nowMillis monotonic time
     */
    public void changeSelfState(MemberState state, long nowMillis) {
        if (state == MemberState.DRAINING) {
            selfDrainingSinceMillis = nowMillis;
        }
        self = self.withState(state);
    }

    /**
     * Processor time that the requests of this VM need, according to its last heartbeat.
     *
     * @return thousandths of a core
     */
    public int selfLoad() {
        return selfLoad;
    }

    /**
     * Starts the next heartbeat.
     *
     * @param load thousandths of a core that the requests of this VM need now
     * @return a report that contains what this view knows of this VM
     */
    public FleetReport.Builder nextReport(int load) {
        selfLoad = load;
        return FleetReport.builder(self, ++sequence).load(selfLoad).fleetSize(observedVms());
    }

    /**
     * Observations of all other VMs, for use in heartbeats.
     *
     * @param nowMillis monotonic time
     * @return new list
     */
    public List<MemberObservation> observations(long nowMillis) {
        List<MemberObservation> observations = new ArrayList<>(members.size());
        for (Member member : members.values()) {
            observations.add(
                    new MemberObservation(member.info(), nowMillis - member.heardAtMillis()));
        }
        return observations;
    }

    /**
     * Processes a heartbeat.
     *
     * @param report heartbeat of another VM
     * @param nowMillis monotonic time
     * @return tokens that the sender has admitted since its previous report
     */
    public List<CustomerSpend> receive(FleetReport report, long nowMillis) {
        if (report.self().vm().equals(self.vm())) {
            return List.of();
        }
        report.others().forEach(observation -> observe(observation, nowMillis));
        Member member = members.get(report.self().vm());
        if (member == null) {
            member = new Member(report.self(), nowMillis);
            members.put(report.self().vm(), member);
            membersChanged();
            applyReport(member, report, nowMillis);
            return List.of();
        }
        if (member.supersedes(report)) {
            return List.of();
        }
        boolean restarted = report.self().incarnation() != member.info().incarnation();
        List<CustomerSpend> spends =
                report.customers().isEmpty()
                        ? List.of()
                        : newSpends(member, restarted, report.customers(), nowMillis);
        applyReport(member, report, nowMillis);
        return spends;
    }

    private double reservedMillis(Member member, long nowMillis) {
        long silenceMillis =
                receivesFrom(member, nowMillis) ? 0 : nowMillis - member.lastReportMillis();
        return (double) silenceMillis / knownVms();
    }

    /**
     * Removes VMs that have been silent for the forget time or have ended.
     *
     * @param nowMillis monotonic time
     */
    public void prune(long nowMillis) {
        reach.prune(nowMillis);
        for (Member member : members.values()) {
            if (!alive(member, nowMillis) || member.info().state() == MemberState.GONE) {
                otherVmUse.remove(member);
            }
        }
        if (members.values().removeIf(member -> isExpired(member, nowMillis))) {
            membersChanged();
        }
    }

    private boolean isExpired(Member member, long nowMillis) {
        long silenceMillis = nowMillis - member.heardAtMillis();
        boolean ended = member.info().state() == MemberState.GONE;
        return silenceMillis > timing.forgetMillis()
                || (ended && silenceMillis > timing.suspectMillis());
    }

    /**
     * Number of VMs of the own region that carry requests, including this one.
     *
     * @param nowMillis monotonic time
     * @return 1 or more
     */
    public int regionVmsWithRequests(long nowMillis) {
        int vms = 1;
        for (Member member : members.values()) {
            boolean carries =
                    member.load() >= LoadMeter.REQUEST_CPU_MILLIS
                            && member.info().region().equals(self.region());
            if (carries && alive(member, nowMillis)) {
                vms++;
            }
        }
        return vms;
    }

    /**
     * Tells whether a VM has been heard of recently, directly or through others.
     *
     * @param member the VM
     * @param nowMillis monotonic time
     * @return false if it is suspected to be down or cut off
     */
    public boolean alive(Member member, long nowMillis) {
        long limit = Math.max(timing.suspectMillis(), SUSPECT_INTERVALS * heartbeatMillis(member));
        return nowMillis - member.heardAtMillis() <= limit;
    }

    /**
     * Records that a request could not reach a VM, so that other requests avoid it for a while.
     *
     * @param vm name of the VM
     * @param nowMillis monotonic time
     */
    public void markUnreachable(String vm, long nowMillis) {
        Member member = members.get(vm);
        if (member != null) {
            member.avoidUntil(nowMillis + timing.suspectMillis());
        }
    }

    /**
     * Chooses the VMs that a caller may be sent to: those that carry the requests of the caller's
     * region, else of the regions in which its requests may be processed; if all of these are
     * draining, those that still accept requests, or else requests that end soon; else VMs of all
     * regions. VMs that reach no replica are left out if others can carry the requests.
     *
     * @param region region of the caller, may be one without VMs
     * @param homes regions in which the caller's requests may be processed, empty for all
     * @param homesOnly true if no request of the caller may be processed elsewhere
     * @param reachesReplicas tells whether a VM reaches replicas of its region
     * @param nowMillis monotonic time
     * @return VMs in no particular order, empty if no VM accepts requests
     */
    public List<MemberInfo> callerVms(
            RegionId region,
            Set<RegionId> homes,
            boolean homesOnly,
            Predicate<MemberInfo> reachesReplicas,
            long nowMillis) {
        List<VmLoad> ready = readyVms(nowMillis);
        List<VmLoad> inRegion = matching(ready, vm -> vm.region().equals(region));
        if (!inRegion.isEmpty()) {
            return TrafficVmSelector.select(inRegion, reachesReplicas);
        }
        List<VmLoad> inHomes = matching(ready, vm -> homes.contains(vm.region()));
        if (inHomes.isEmpty() && !homes.isEmpty()) {
            Predicate<MemberInfo> near =
                    vm -> vm.region().equals(region) || homes.contains(vm.region());
            inHomes = matching(drainingVms(timing.drainAcceptMillis(), nowMillis), near);
            if (inHomes.isEmpty()) {
                inHomes = matching(drainingVms(timing.drainFinishMillis(), nowMillis), near);
            }
        }
        return TrafficVmSelector.select(
                inHomes.isEmpty() && !homesOnly ? ready : inHomes, reachesReplicas);
    }

    /**
     * Other VMs of a region that accept requests from this one. If heartbeats of some of them are
     * still arriving, the others are left out: a network partition shows first in missing
     * heartbeats.
     *
     * @param region region to reach
     * @param nowMillis monotonic time
     * @return the VMs that carry requests, without suspected ones
     */
    public List<MemberInfo> relayVms(RegionId region, long nowMillis) {
        return TrafficVmSelector.select(relayLoads(region, nowMillis));
    }

    /** VMs as in {@link #relayVms}, those included that stand by, with their load. */
    List<VmLoad> relayLoads(RegionId region, long nowMillis) {
        List<Member> candidates = relayCandidates(region, nowMillis);
        boolean anyReceived =
                candidates.stream().anyMatch(member -> receivesFrom(member, nowMillis));
        return candidates.stream()
                .filter(member -> !anyReceived || receivesFrom(member, nowMillis))
                .map(member -> new VmLoad(member.info(), member.load()))
                .toList();
    }

    /**
     * When a heartbeat of a VM last arrived.
     *
     * @param vm name of the VM
     * @return monotonic time in milliseconds, far in the past if none has arrived
     */
    public long lastReportMillis(String vm) {
        Member member = members.get(vm);
        return member == null ? Long.MIN_VALUE / 2 : member.lastReportMillis();
    }

    /**
     * Tells whether a region can be reached through at least one VM.
     *
     * @param region region to reach
     * @param nowMillis monotonic time
     * @return false if {@link #relayVms} would be empty
     */
    public boolean isReachable(RegionId region, long nowMillis) {
        boolean draining = false;
        for (Member member : members.values()) {
            if (reachable(member, region, nowMillis)) {
                if (member.info().state().acceptsRequests()) {
                    return true;
                }
                draining |= acceptsWhileDraining(member, nowMillis);
            }
        }
        return draining;
    }

    /** Ready VMs of a region or, if there are none, those that have just begun to drain. */
    private List<Member> relayCandidates(RegionId region, long nowMillis) {
        List<Member> ready = new ArrayList<>();
        List<Member> draining = new ArrayList<>();
        for (Member member : members.values()) {
            if (reachable(member, region, nowMillis)) {
                if (member.info().state().acceptsRequests()) {
                    ready.add(member);
                } else if (acceptsWhileDraining(member, nowMillis)) {
                    draining.add(member);
                }
            }
        }
        return ready.isEmpty() ? draining : ready;
    }

    private boolean reachable(Member member, RegionId region, long nowMillis) {
        return member.info().region().equals(region)
                && alive(member, nowMillis)
                && !member.avoided(nowMillis);
    }

    private boolean acceptsWhileDraining(Member member, long nowMillis) {
        return drainsSince(member, timing.drainAcceptMillis(), nowMillis);
    }

    private static boolean drainsSince(Member member, long lessThanMillis, long nowMillis) {
        return member.info().state() == MemberState.DRAINING
                && nowMillis - member.drainingSinceMillis() < lessThanMillis;
    }

    /**
     * Fraction of the fleet whose heartbeats reach this VM, itself included.
     *
     * <p>VMs on the other side of a network partition compute the remaining fraction, so the
     * fractions of disjoint groups add up to one as long as they knew the same members before the
     * partition. A VM that has just started assumes the minimum fleet size until it has heard of
     * more.
     *
     * @param nowMillis monotonic time
     * @return a number in (0, 1]
     */
    public double heardFraction(long nowMillis) {
        int heardVms = 1;
        for (Member member : members.values()) {
            if (member.info().state() != MemberState.GONE && receivesFrom(member, nowMillis)) {
                heardVms++;
            }
        }
        return (double) heardVms / Math.max(heardVms, knownVms());
    }

    /**
     * Number of VMs that carried the requests of this region when they were last heard of, if this
     * VM hears none of them any more.
     *
     * @param nowMillis monotonic time
     * @return the number with this VM; 1 while it hears another VM of its region, or knows none
     */
    public int trafficVmsWhileAlone(long nowMillis) {
        List<VmLoad> silent = new ArrayList<>(List.of(new VmLoad(self, selfLoad())));
        for (Member member : members.values()) {
            boolean inRegion = member.info().region().equals(self.region());
            if (inRegion && member.info().state() != MemberState.GONE) {
                if (alive(member, nowMillis)) {
                    return 1;
                }
                silent.add(new VmLoad(member.info(), member.load()));
            }
        }
        return TrafficVmSelector.select(silent).size();
    }

    /**
     * Requests that all other VMs have outstanding at an upstream. Silent VMs are not counted.
     *
     * @param upstream id of the upstream
     * @return the sum
     */
    public UpstreamUse otherVmUse(String upstream) {
        return otherVmUse.of(upstream);
    }

    /**
     * Tells whether the VM's own heartbeats arrive, allowing for two lost ones. In a large fleet a
     * single VM sends one only every few seconds, but heartbeats from its region arrive all the
     * time: if none does, the region is cut off or this process was suspended.
     */
    boolean receivesFrom(Member member, long nowMillis) {
        long limit =
                inOwnRegion(member) ? timing.regionSilenceMillis() : timing.otherSilenceMillis();
        int rounds = rounds(member);
        if (nowMillis - member.lastReportMillis() > limit * rounds) {
            return false;
        }
        RegionId region = member.info().region();
        int regionVms = regionSizes.getOrDefault(region, 1);
        boolean severalRounds = rounds > 1;
        double limitFactor =
                severalRounds
                        ? Math.max(1, Math.ceil(REGION_SILENCE_FACTOR * rounds / regionVms))
                        : 1;
        return nowMillis - regionLastReportMillis.getOrDefault(region, Long.MIN_VALUE / 2)
                <= limit * limitFactor;
    }

    /** Time between two heartbeats that a VM sends to this one. */
    private long heartbeatMillis(Member member) {
        long interval =
                inOwnRegion(member) ? timing.regionIntervalMillis() : timing.otherIntervalMillis();
        return interval * rounds(member);
    }

    /** Number of rounds between two heartbeats that a VM sends to this one. */
    private int rounds(Member member) {
        return inOwnRegion(member)
                ? HeartbeatPlan.regionRounds(sameRegionMembers)
                : HeartbeatPlan.otherRounds(members.size() - sameRegionMembers);
    }

    private void membersChanged() {
        membersVersion++;
        regionSizes.clear();
        members.values().forEach(vm -> regionSizes.merge(vm.info().region(), 1, Integer::sum));
        sameRegionMembers = (int) members.values().stream().filter(this::inOwnRegion).count();
    }

    private boolean inOwnRegion(Member member) {
        return member.info().region().equals(self.region());
    }

    /**
     * Tells whether each of the given regions has a known VM.
     *
     * @param regions the regions
     * @return false if there is a region without a known VM
     */
    public boolean knowsVmsOf(Collection<RegionId> regions) {
        return regions.stream()
                .allMatch(
                        region -> region.equals(self.region()) || regionSizes.containsKey(region));
    }

    /**
     * Number of VMs of the fleet as far as this one knows, itself included. A process that has just
     * started takes the number from VMs that have run for longer.
     *
     * @return number, at least the minimum from the settings
     */
    public int knownVms() {
        int known = Math.max(observedVms(), minFleetSize);
        for (Member member : members.values()) {
            known = Math.max(known, member.fleetSize());
        }
        return known;
    }

    /** Number of VMs that this process knows, itself included, without ended ones. */
    private int observedVms() {
        int known = 1;
        for (Member member : members.values()) {
            if (member.info().state() != MemberState.GONE) {
                known++;
            }
        }
        return known;
    }

    private void applyReport(Member member, FleetReport report, long nowMillis) {
        regionLastReportMillis.put(report.self().region(), nowMillis);
        boolean restarted = report.self().incarnation() != member.info().incarnation();
        otherVmUse.apply(member, report, restarted);
        member.apply(report, nowMillis);
        reach.apply(report, restarted, heartbeatMillis(member), nowMillis);
    }

    private void observe(MemberObservation observation, long nowMillis) {
        MemberInfo info = observation.info();
        if (info.vm().equals(self.vm()) || observation.ageMillis() > timing.forgetMillis()) {
            return;
        }
        Member known = members.get(info.vm());
        if (known == null && info.state() == MemberState.GONE) {
            return;
        }
        if (known == null) {
            members.put(info.vm(), new Member(info, nowMillis - observation.ageMillis()));
            membersChanged();
        } else {
            known.observe(observation, nowMillis);
        }
    }

    private List<VmLoad> readyVms(long nowMillis) {
        List<VmLoad> ready = new ArrayList<>();
        if (self.state().acceptsRequests()) {
            ready.add(new VmLoad(self, selfLoad));
        }
        for (Member member : members.values()) {
            if (member.info().state().acceptsRequests() && alive(member, nowMillis)) {
                ready.add(new VmLoad(member.info(), member.load()));
            }
        }
        return ready;
    }

    /** VMs that have been draining for less than a time. */
    private List<VmLoad> drainingVms(long lessThanMillis, long nowMillis) {
        List<VmLoad> candidates = new ArrayList<>();
        boolean selfAccepts = nowMillis - selfDrainingSinceMillis < lessThanMillis;
        if (self.state() == MemberState.DRAINING && selfAccepts) {
            candidates.add(new VmLoad(self, selfLoad));
        }
        for (Member member : members.values()) {
            if (drainsSince(member, lessThanMillis, nowMillis) && alive(member, nowMillis)) {
                candidates.add(new VmLoad(member.info(), member.load()));
            }
        }
        return candidates;
    }

    private static List<VmLoad> matching(List<VmLoad> vms, Predicate<MemberInfo> wanted) {
        return vms.stream().filter(vm -> wanted.test(vm.vm())).toList();
    }

    /**
     * Tokens that were admitted since the previous report. A customer whose earlier count is
     * unknown is charged 0 tokens.
     */
    private List<CustomerSpend> newSpends(
            Member member, boolean restarted, Map<String, CustomerUse> customers, long nowMillis) {
        double reservedMillis = reservedMillis(member, nowMillis);
        List<CustomerSpend> spends = new ArrayList<>();
        customers.forEach(
                (customer, use) -> {
                    OptionalLong known =
                            restarted ? OptionalLong.of(0) : member.admittedTokens(customer);
                    long spent = use.tokens() - known.orElse(use.tokens());
                    spends.add(new CustomerSpend(customer, spent, reservedMillis, use.level()));
                });
        return spends;
    }
}
