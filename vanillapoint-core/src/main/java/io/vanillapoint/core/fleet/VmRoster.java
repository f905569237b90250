package io.vanillapoint.core.fleet;

import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.hash.Rendezvous;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * List of all VMs, from which each VM computes whether it is one of the few VMs of its region that
 * hold a right, such as the right to send to a cold replica.
 *
 * <p>Handles processes that start while cut off from each other, or faster than news of them
 * spreads, so that each knows a different part of the fleet. A VM that does not know all others
 * could claim rights that belong to them, so it claims none until its list is settled. Invariants:
 * a name is kept for as long as its VM may run without being heard, also after the VM has ended;
 * the list is settled only while no VM of the region reports more VMs there, the settings do not
 * imply a larger fleet, each zone of the region has a VM in the list, and no name of the region was
 * added for {@link #SETTLE_MILLIS}. Once no name was added for the forget time, the list counts as
 * settled in any case. Confined to one thread.
 */
public final class VmRoster {
    /**
     * Time within which news reaches all VMs of the largest region, allowing for one lost
     * heartbeat.
     */
    public static final long SETTLE_MILLIS = 3_000;

    private final MemberInfo self;
    private final Set<ZoneId> regionZones;
    private final int minFleetSize;
    private final long forgetMillis;
    private final Map<String, Entry> entries = new HashMap<>();
    private List<String> regionVms;
    private Set<ZoneId> missingZones;
    private long lastAddedAtMillis;

    /**
     * Creates a roster that contains only this VM.
     *
     * @param self this VM
     * @param regionZones zones of its region, from the settings
     * @param minFleetSize minimum number of VMs of the fleet, from the settings
     * @param timing intervals and timeouts of the protocol
     * @param nowMillis monotonic time at which the process started
     */
    public VmRoster(
            MemberInfo self,
            Set<ZoneId> regionZones,
            int minFleetSize,
            FleetTiming timing,
            long nowMillis) {
        this.self = self;
        this.regionZones = Set.copyOf(regionZones);
        this.minFleetSize = minFleetSize;
        forgetMillis = timing.forgetMillis();
        lastAddedAtMillis = nowMillis;
        rebuildIndex();
    }

    /**
     * Adds the VMs that a heartbeat names.
     *
     * @param report what another VM sent
     * @param nowMillis monotonic time
     */
    public void observe(FleetReport report, long nowMillis) {
        report.others()
                .forEach(other -> observe(other.info(), nowMillis - other.ageMillis(), nowMillis));
        if (observe(report.self(), nowMillis, nowMillis)) {
            entries.get(report.self().vm()).regionVms = report.regionVms();
        }
    }

    /**
     * Removes VMs that have not been heard of for the forget time.
     *
     * @param nowMillis monotonic time
     */
    public void prune(long nowMillis) {
        if (entries.values().removeIf(entry -> isExpired(entry.heardAtMillis, nowMillis))) {
            rebuildIndex();
        }
    }

    /**
     * VMs of this region, including this one and those that have ended recently.
     *
     * @return names, sorted
     */
    public List<String> regionVms() {
        return regionVms;
    }

    /**
     * Number of VMs of this region, including this one, without those that reported that they
     * ended. A VM that starts later can't hear of the ended ones any more.
     *
     * @return number
     */
    public int runningRegionVms() {
        long running =
                entries.values().stream()
                        .filter(entry -> inOwnRegion(entry.vm))
                        .filter(entry -> entry.vm.state() != MemberState.GONE)
                        .count();
        return (int) running + 1;
    }

    /**
     * Number of VMs of all regions, including this one and those that have ended recently.
     *
     * @return number
     */
    public int size() {
        return entries.size() + 1;
    }

    /**
     * Largest number of VMs of this region that any VM of it has reported.
     *
     * @return number, 0 if none was reported
     */
    public int maxReportedRegionVms() {
        int max = 0;
        for (Entry entry : entries.values()) {
            if (inOwnRegion(entry.vm)) {
                max = Math.max(max, entry.regionVms);
            }
        }
        return max;
    }

    /**
     * Tells whether this VM knows as many VMs of its region as the others report.
     *
     * @return false while it has just started and not heard of all
     */
    public boolean knowsRegion() {
        return regionVms.size() >= maxReportedRegionVms();
    }

    /**
     * Tells whether the other VMs of this region probably have the same list.
     *
     * @param nowMillis monotonic time
     * @return false while this VM may not know some of them
     */
    public boolean settled(long nowMillis) {
        long unchangedMillis = nowMillis - lastAddedAtMillis;
        if (unchangedMillis < SETTLE_MILLIS) {
            return false;
        }
        // A VM that stays unknown for the forget time has also been dropped by those that knew it.
        return unchangedMillis >= forgetMillis
                || (missingZones.isEmpty() && size() >= minFleetSize && knowsRegion());
    }

    /**
     * Rank of this VM among those of its region for a key, by rendezvous hashing. VMs with the same
     * list have different ranks.
     *
     * @param key identifies the right
     * @return rank, 0 for the first
     */
    public int rank(String key) {
        long seed = Rendezvous.seed(key);
        long own = Rendezvous.seededWeight(seed, self.vm());
        int higherRanked = 0;
        for (String vm : regionVms) {
            if (Long.compareUnsigned(Rendezvous.seededWeight(seed, vm), own) > 0) {
                higherRanked++;
            }
        }
        return higherRanked;
    }

    private boolean observe(MemberInfo vm, long heardAtMillis, long nowMillis) {
        if (vm.vm().equals(self.vm()) || isExpired(heardAtMillis, nowMillis)) {
            return false;
        }
        Entry known = entries.get(vm.vm());
        if (known != null) {
            known.update(vm, heardAtMillis);
            return true;
        }
        entries.put(vm.vm(), new Entry(vm, heardAtMillis));
        if (inOwnRegion(vm)) {
            lastAddedAtMillis = nowMillis;
            rebuildIndex();
        }
        return true;
    }

    private boolean inOwnRegion(MemberInfo vm) {
        return vm.region().equals(self.region());
    }

    private boolean isExpired(long heardAtMillis, long nowMillis) {
        return nowMillis - heardAtMillis > forgetMillis;
    }

    private void rebuildIndex() {
        List<String> names = new ArrayList<>(List.of(self.vm()));
        missingZones = new HashSet<>(regionZones);
        missingZones.remove(self.zone());
        for (Entry entry : entries.values()) {
            if (inOwnRegion(entry.vm)) {
                names.add(entry.vm.vm());
                missingZones.remove(entry.vm.zone());
            }
        }
        names.sort(Comparator.naturalOrder());
        regionVms = List.copyOf(names);
    }

    /** State of another VM. */
    private static final class Entry {
        private MemberInfo vm;
        private long heardAtMillis;

        /**
         * Number of VMs of its region, according to its last report; 0 if this process has received
         * none.
         */
        private int regionVms;

        Entry(MemberInfo vm, long heardAtMillis) {
            this.vm = vm;
            this.heardAtMillis = heardAtMillis;
        }

        void update(MemberInfo newer, long atMillis) {
            boolean laterIncarnation = newer.incarnation() > vm.incarnation();
            boolean laterState =
                    newer.incarnation() == vm.incarnation()
                            && newer.state().compareTo(vm.state()) > 0;
            if (laterIncarnation || laterState) {
                vm = newer;
            }
            heardAtMillis = Math.max(heardAtMillis, atMillis);
        }
    }
}
