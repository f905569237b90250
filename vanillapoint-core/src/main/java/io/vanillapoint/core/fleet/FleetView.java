package io.vanillapoint.core.fleet;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.fleet.TrafficVms.VmLoad;
import io.vanillapoint.core.hash.Rendezvous;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Which entry VMs exist, learnt from heartbeats alone.
 *
 * <p>Invariants: this VM is not among its members; a VM that has been silent, directly and through
 * others, for longer than the suspicion time is not named to callers; a report never replaces one
 * of a later incarnation or sequence. Confined to one thread.
 */
public final class FleetView {
    /** Heartbeats that may be lost in a row before a VM of a large fleet is suspected. */
    private static final int SUSPECT_INTERVALS = 3;

    /**
     * Rounds that the time until a region is taken to be silent has for each VM of it, so that
     * about eight heartbeats of the region are due in that time, whenever each of them falls.
     */
    private static final double ROUNDS_OF_A_SENDER = 3.2;

    private final FleetTiming timing;
    private final int smallestFleet;
    private final Map<String, Member> members = new HashMap<>();
    private final Map<RegionId, Integer> regionSizes = new HashMap<>();
    private final Map<RegionId, Long> regionHeardAt = new HashMap<>();

    /**
     * Sum over all VMs that are heard, kept up to date so that a request need not visit each VM.
     */
    private final Map<String, UpstreamUse> elsewhere = new HashMap<>();

    private MemberInfo self;
    private int nearMembers;
    private long sequence;
    private int selfLoad;
    private long selfDrainingSinceMillis = Long.MIN_VALUE / 2;
    private long membersVersion;

    /**
     * Creates a view that knows only this VM.
     *
     * @param self this VM
     * @param timing times of the protocol
     * @param smallestFleet VMs that the fleet has at least, as far as the settings tell
     */
    public FleetView(MemberInfo self, FleetTiming timing, int smallestFleet) {
        this.self = self;
        this.timing = timing;
        this.smallestFleet = smallestFleet;
    }

    /**
     * This VM.
     *
     * @return what it says of itself
     */
    public MemberInfo self() {
        return self;
    }

    /**
     * All other VMs that are part of the fleet, suspected ones included.
     *
     * @return view of the members
     */
    public Collection<Member> members() {
        return members.values();
    }

    /** Rises when a VM has come or gone. */
    long membersVersion() {
        return membersVersion;
    }

    /**
     * Tells whether a VM is part of the fleet.
     *
     * @param vm name of the VM
     * @return false if it was never heard of, or is forgotten
     */
    public boolean knows(String vm) {
        return members.containsKey(vm);
    }

    /**
     * Changes the life cycle of this VM.
     *
     * @param state new state
     * @param nowMillis steady time
     */
    public void selfState(MemberState state, long nowMillis) {
        if (state == MemberState.DRAINING) {
            selfDrainingSinceMillis = nowMillis;
        }
        self = self.withState(state);
    }

    /**
     * What the requests of this VM need, as its last heartbeat says.
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
     * @return a report that says what this view knows of this VM
     */
    public FleetReport.Builder nextReport(int load) {
        selfLoad = load;
        return FleetReport.builder(self, ++sequence).load(selfLoad).fleetSize(ownCount());
    }

    /**
     * All other VMs, for heartbeats that name them.
     *
     * @param nowMillis steady time
     * @return new list
     */
    public List<HeardMember> heardMembers(long nowMillis) {
        List<HeardMember> heard = new ArrayList<>(members.size());
        for (Member member : members.values()) {
            heard.add(new HeardMember(member.info(), nowMillis - member.heardAtMillis()));
        }
        return heard;
    }

    /**
     * Takes a heartbeat.
     *
     * @param report what another VM sent
     * @param nowMillis steady time
     * @return tokens that the sender admitted since its report before
     */
    public List<CustomerSpend> receive(FleetReport report, long nowMillis) {
        if (report.self().vm().equals(self.vm())) {
            return List.of();
        }
        report.others().forEach(heard -> hear(heard, nowMillis));
        Member member = members.get(report.self().vm());
        if (member == null) {
            member = new Member(report.self(), nowMillis);
            members.put(report.self().vm(), member);
            membersChanged();
            takeReport(member, report, nowMillis);
            return List.of();
        }
        if (member.outdates(report)) {
            return List.of();
        }
        boolean restarted = report.self().incarnation() != member.info().incarnation();
        List<CustomerSpend> spends =
                report.customers().isEmpty()
                        ? List.of()
                        : spends(member, restarted, report.customers(), nowMillis);
        takeReport(member, report, nowMillis);
        return spends;
    }

    private double setAsideMillis(Member member, long nowMillis) {
        long silentMillis = hears(member, nowMillis) ? 0 : nowMillis - member.directAtMillis();
        return (double) silentMillis / knownVms();
    }

    /**
     * Forgets VMs that have been silent for long or have ended.
     *
     * @param nowMillis steady time
     */
    public void prune(long nowMillis) {
        for (Member member : members.values()) {
            if (!alive(member, nowMillis) || member.info().state() == MemberState.GONE) {
                member.counted().forEach((upstream, use) -> add(upstream, use, -1));
                member.counted().clear();
            }
        }
        if (members.values().removeIf(member -> forgotten(member, nowMillis))) {
            membersChanged();
        }
    }

    private boolean forgotten(Member member, long nowMillis) {
        long silent = nowMillis - member.heardAtMillis();
        boolean ended = member.info().state() == MemberState.GONE;
        return silent > timing.forgetMillis() || (ended && silent > timing.suspectMillis());
    }

    /**
     * Tells whether a VM has been heard of lately.
     *
     * @param member the VM
     * @param nowMillis steady time
     * @return false if it is suspected to be down or cut off
     */
    public boolean alive(Member member, long nowMillis) {
        long interval = near(member) ? timing.regionIntervalMillis() : timing.otherIntervalMillis();
        long limit =
                Math.max(timing.suspectMillis(), SUSPECT_INTERVALS * interval * rounds(member));
        return nowMillis - member.heardAtMillis() <= limit;
    }

    /**
     * Notes that a VM could not be reached by a request, so that others go elsewhere for a moment.
     *
     * @param vm name of the VM
     * @param nowMillis steady time
     */
    public void unreachable(String vm, long nowMillis) {
        Member member = members.get(vm);
        if (member != null) {
            member.avoidUntil(nowMillis + timing.suspectMillis());
        }
    }

    /**
     * VMs that callers may be sent to: those that carry the requests of the caller's region, else
     * of the regions in which its requests may be processed; where all of these drain, those that
     * still take requests; else VMs of all regions.
     *
     * @param region region of the caller, may be unknown to the fleet
     * @param homes regions in which the caller's requests may be processed, empty for all
     * @param bound true if no request of the caller may be processed elsewhere
     * @param nowMillis steady time
     * @return VMs in no special order, empty if no VM takes requests
     */
    public List<MemberInfo> callerVms(
            RegionId region, Set<RegionId> homes, boolean bound, long nowMillis) {
        List<VmLoad> ready = takingRequests(nowMillis);
        List<VmLoad> near = in(ready, vm -> vm.region().equals(region));
        if (!near.isEmpty()) {
            return TrafficVms.carrying(near);
        }
        List<VmLoad> home = in(ready, vm -> homes.contains(vm.region()));
        if (home.isEmpty() && !homes.isEmpty()) {
            home =
                    in(
                            drainingButTaking(nowMillis),
                            vm -> vm.region().equals(region) || homes.contains(vm.region()));
        }
        return TrafficVms.carrying(home.isEmpty() && !bound ? ready : home);
    }

    /**
     * VMs of another region that take requests from this one. Where some have been heard within the
     * last moment, the others are left out: a cut shows there first.
     *
     * @param region region to reach
     * @param nowMillis steady time
     * @return the VMs that carry requests, suspected ones left out
     */
    public List<MemberInfo> relays(RegionId region, long nowMillis) {
        List<Member> taking = relayCandidates(region, nowMillis);
        boolean anyHeard = taking.stream().anyMatch(member -> hears(member, nowMillis));
        List<VmLoad> ready =
                taking.stream()
                        .filter(member -> !anyHeard || hears(member, nowMillis))
                        .map(member -> new VmLoad(member.info(), member.load()))
                        .toList();
        return TrafficVms.carrying(ready);
    }

    /**
     * Tells whether a region can be reached through any VM.
     *
     * @param region region to reach
     * @param nowMillis steady time
     * @return false if {@link #relays} would be empty
     */
    public boolean reaches(RegionId region, long nowMillis) {
        boolean draining = false;
        for (Member member : members.values()) {
            if (reachable(member, region, nowMillis)) {
                if (member.info().state().takesRequests()) {
                    return true;
                }
                draining |= takesWhileDraining(member, nowMillis);
            }
        }
        return draining;
    }

    /** Ready VMs of a region, or those that have just begun to drain if there is none. */
    private List<Member> relayCandidates(RegionId region, long nowMillis) {
        List<Member> ready = new ArrayList<>();
        List<Member> draining = new ArrayList<>();
        for (Member member : members.values()) {
            if (reachable(member, region, nowMillis)) {
                if (member.info().state().takesRequests()) {
                    ready.add(member);
                } else if (takesWhileDraining(member, nowMillis)) {
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

    private boolean takesWhileDraining(Member member, long nowMillis) {
        return member.info().state() == MemberState.DRAINING
                && nowMillis - member.drainingSinceMillis() < timing.drainTakesMillis();
    }

    /**
     * Part of the fleet whose heartbeats reach this VM, itself included.
     *
     * <p>VMs on the other side of a cut compute the rest, so the parts of disjoint groups add up to
     * one as long as they knew the same members before the cut. A VM that has just started assumes
     * the smallest fleet until it has heard of more.
     *
     * @param nowMillis steady time
     * @return a number in (0, 1]
     */
    public double heardShare(long nowMillis) {
        int heard = 1;
        for (Member member : members.values()) {
            if (member.info().state() != MemberState.GONE && hears(member, nowMillis)) {
                heard++;
            }
        }
        return (double) heard / Math.max(heard, knownVms());
    }

    /**
     * What all other VMs have outstanding at an upstream. Silent VMs no longer count.
     *
     * @param upstream id of the upstream
     * @return the sum
     */
    public UpstreamUse useElsewhere(String upstream) {
        return elsewhere.getOrDefault(upstream, UpstreamUse.NONE);
    }

    /**
     * A VM that knows a later revision of the platform's store. VMs that are behind ask different
     * ones.
     *
     * @param revision revision that this VM has reached
     * @param nowMillis steady time
     * @return the one that knows most, or nothing if none knows more
     */
    public Optional<Member> ahead(long revision, long nowMillis) {
        Member best = null;
        for (Member member : members.values()) {
            if (member.publishedRevision() > revision
                    && alive(member, nowMillis)
                    && (best == null || aheadOf(member, best))) {
                best = member;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * VMs of this region, without this one, that take requests, are heard and read the platform's
     * store themselves.
     *
     * @param nowMillis steady time
     * @return names in no special order
     */
    public List<String> storeReaders(long nowMillis) {
        List<String> names = new ArrayList<>();
        for (Member member : members.values()) {
            if (member.readsStore()
                    && near(member)
                    && member.info().state().takesRequests()
                    && hears(member, nowMillis)) {
                names.add(member.info().vm());
            }
        }
        return names;
    }

    private boolean aheadOf(Member member, Member other) {
        if (member.publishedRevision() != other.publishedRevision()) {
            return member.publishedRevision() > other.publishedRevision();
        }
        if (near(member) != near(other)) {
            return near(member);
        }
        long weight = Rendezvous.weight(self.vm(), member.info().vm());
        return Long.compareUnsigned(weight, Rendezvous.weight(self.vm(), other.info().vm())) > 0;
    }

    /**
     * Tells whether the VM's own heartbeats arrive, with room for two that were lost. In a large
     * fleet a VM is heard every few seconds only, but some VM of its region is heard all the time:
     * where none is, the region is cut off, or this VM was frozen.
     */
    private boolean hears(Member member, long nowMillis) {
        long limit = near(member) ? timing.regionSilenceMillis() : timing.otherSilenceMillis();
        int rounds = rounds(member);
        if (nowMillis - member.directAtMillis() > limit * rounds) {
            return false;
        }
        RegionId region = member.info().region();
        int senders = regionSizes.getOrDefault(region, 1);
        boolean inTurn = rounds > 1;
        double roundsOfRegion =
                inTurn ? Math.max(1, Math.ceil(ROUNDS_OF_A_SENDER * rounds / senders)) : 1;
        return nowMillis - regionHeardAt.getOrDefault(region, Long.MIN_VALUE / 2)
                <= limit * roundsOfRegion;
    }

    /** Rounds in which a VM sends to this one once. */
    private int rounds(Member member) {
        return near(member)
                ? HeartbeatPlan.regionRounds(nearMembers)
                : HeartbeatPlan.otherRounds(members.size() - nearMembers);
    }

    private void membersChanged() {
        membersVersion++;
        regionSizes.clear();
        members.values().forEach(vm -> regionSizes.merge(vm.info().region(), 1, Integer::sum));
        nearMembers = (int) members.values().stream().filter(this::near).count();
    }

    private boolean near(Member member) {
        return member.info().region().equals(self.region());
    }

    /**
     * Tells whether VMs of regions have been heard of, directly or through others.
     *
     * @param regions the regions
     * @return false if there is one without any known VM
     */
    public boolean knowsVmsOf(Collection<RegionId> regions) {
        return regions.stream()
                .allMatch(
                        region -> region.equals(self.region()) || regionSizes.containsKey(region));
    }

    /**
     * VMs of the fleet as far as this one knows, itself included. A process that has just started
     * takes the number from those that have run for longer.
     *
     * @return number, at least what the settings tell
     */
    public int knownVms() {
        int known = Math.max(ownCount(), smallestFleet);
        for (Member member : members.values()) {
            known = Math.max(known, member.fleetSize());
        }
        return known;
    }

    /** VMs that this process has heard of, itself included. */
    private int ownCount() {
        int known = 1;
        for (Member member : members.values()) {
            if (member.info().state() != MemberState.GONE) {
                known++;
            }
        }
        return known;
    }

    private void takeReport(Member member, FleetReport report, long nowMillis) {
        regionHeardAt.put(report.self().region(), nowMillis);
        boolean restarted = report.self().incarnation() != member.info().incarnation();
        Iterator<Map.Entry<String, UpstreamUse>> counted = member.counted().entrySet().iterator();
        while (counted.hasNext()) {
            Map.Entry<String, UpstreamUse> use = counted.next();
            if (restarted || report.page().covers(use.getKey())) {
                add(use.getKey(), use.getValue(), -1);
                counted.remove();
            }
        }
        member.take(report, nowMillis);
        report.upstreams()
                .forEach(
                        (upstream, use) -> {
                            if (report.page().covers(upstream)) {
                                member.counted().put(upstream, use);
                                add(upstream, use, 1);
                            }
                        });
    }

    private void add(String upstream, UpstreamUse use, int sign) {
        UpstreamUse signed = new UpstreamUse(sign * use.requests(), sign * use.promptTokens());
        UpstreamUse sum = elsewhere.merge(upstream, signed, UpstreamUse::plus);
        if (sum.requests() == 0 && sum.promptTokens() == 0) {
            elsewhere.remove(upstream);
        }
    }

    private void hear(HeardMember heard, long nowMillis) {
        MemberInfo info = heard.info();
        if (info.vm().equals(self.vm()) || heard.ageMillis() > timing.forgetMillis()) {
            return;
        }
        Member known = members.get(info.vm());
        if (known == null && info.state() == MemberState.GONE) {
            return;
        }
        if (known == null) {
            members.put(info.vm(), new Member(info, nowMillis - heard.ageMillis()));
            membersChanged();
        } else {
            known.hear(heard, nowMillis);
        }
    }

    private List<VmLoad> takingRequests(long nowMillis) {
        List<VmLoad> ready = new ArrayList<>();
        if (self.state().takesRequests()) {
            ready.add(new VmLoad(self, selfLoad));
        }
        for (Member member : members.values()) {
            if (member.info().state().takesRequests() && alive(member, nowMillis)) {
                ready.add(new VmLoad(member.info(), member.load()));
            }
        }
        return ready;
    }

    /** VMs that have begun to drain just now and refuse nothing yet. */
    private List<VmLoad> drainingButTaking(long nowMillis) {
        List<VmLoad> taking = new ArrayList<>();
        boolean selfTakes = nowMillis - selfDrainingSinceMillis < timing.drainTakesMillis();
        if (self.state() == MemberState.DRAINING && selfTakes) {
            taking.add(new VmLoad(self, selfLoad));
        }
        for (Member member : members.values()) {
            if (takesWhileDraining(member, nowMillis) && alive(member, nowMillis)) {
                taking.add(new VmLoad(member.info(), member.load()));
            }
        }
        return taking;
    }

    private static List<VmLoad> in(List<VmLoad> vms, Predicate<MemberInfo> wanted) {
        return vms.stream().filter(vm -> wanted.test(vm.vm())).toList();
    }

    /** What was admitted since the report before; a customer heard of late is not charged for. */
    private List<CustomerSpend> spends(
            Member member, boolean restarted, Map<String, CustomerUse> after, long nowMillis) {
        double setAside = setAsideMillis(member, nowMillis);
        List<CustomerSpend> spends = new ArrayList<>();
        after.forEach(
                (customer, use) -> {
                    OptionalLong known = restarted ? OptionalLong.of(0) : member.admitted(customer);
                    long spent = use.tokens() - known.orElse(use.tokens());
                    spends.add(new CustomerSpend(customer, spent, setAside, use.level()));
                });
        return spends;
    }
}
