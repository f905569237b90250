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
 * Names of all VMs, for rights that each VM works out for itself from the list of those that share
 * them.
 *
 * <p>Load pattern: processes start cut off from each other, or faster than news of them spreads,
 * and each knows another part of the fleet. A VM that misses others claims rights that are theirs,
 * so it claims none until its list is settled. Invariants: a name stays for as long as its VM may
 * run unheard, also after the VM has ended; the list is settled only while no VM of the region
 * tells of more VMs there, the settings do not tell of a larger fleet, each zone of the region is
 * in it, and no name of the region was added for the time that news takes. Confined to one thread.
 */
public final class VmRoster {
    /** News reaches all VMs of the largest region within this time, with a lost heartbeat. */
    public static final long SETTLE_MILLIS = 3_000;

    private final MemberInfo self;
    private final Set<ZoneId> regionZones;
    private final int smallestFleet;
    private final long forgetMillis;
    private final Map<String, Entry> entries = new HashMap<>();
    private List<String> regionVms;
    private Set<ZoneId> missingZones;
    private long grewAtMillis;

    /**
     * Creates a roster that names this VM alone.
     *
     * @param self this VM
     * @param regionZones zones of its region, as the settings tell
     * @param smallestFleet VMs that the fleet has at least, as far as the settings tell
     * @param timing times of the protocol
     * @param nowMillis steady time at which the process started
     */
    public VmRoster(
            MemberInfo self,
            Set<ZoneId> regionZones,
            int smallestFleet,
            FleetTiming timing,
            long nowMillis) {
        this.self = self;
        this.regionZones = Set.copyOf(regionZones);
        this.smallestFleet = smallestFleet;
        forgetMillis = timing.forgetMillis();
        grewAtMillis = nowMillis;
        index();
    }

    /**
     * Takes the names that a heartbeat tells.
     *
     * @param report what another VM sent
     * @param nowMillis steady time
     */
    public void heard(FleetReport report, long nowMillis) {
        report.others()
                .forEach(other -> note(other.info(), nowMillis - other.ageMillis(), nowMillis));
        if (note(report.self(), nowMillis, nowMillis)) {
            entries.get(report.self().vm()).regionVms = report.regionVms();
        }
    }

    /**
     * Drops names of VMs that have not been heard of for so long that they are gone.
     *
     * @param nowMillis steady time
     */
    public void prune(long nowMillis) {
        if (entries.values().removeIf(entry -> outdated(entry.heardAtMillis, nowMillis))) {
            index();
        }
    }

    /**
     * VMs of this region, this one included, those that have ended lately too.
     *
     * @return names, sorted
     */
    public List<String> regionVms() {
        return regionVms;
    }

    /**
     * VMs of this region, this one included, without those that have said that they ended. A VM
     * that starts later can't hear of those any more.
     *
     * @return number
     */
    public int runningRegionVms() {
        long running =
                entries.values().stream()
                        .filter(entry -> near(entry.vm))
                        .filter(entry -> entry.vm.state() != MemberState.GONE)
                        .count();
        return (int) running + 1;
    }

    /**
     * VMs of all regions, this one included, those that have ended lately too.
     *
     * @return number
     */
    public int size() {
        return entries.size() + 1;
    }

    /**
     * VMs of this region as far as those that were heard tell.
     *
     * @return the largest number
     */
    public int mostTold() {
        int most = 0;
        for (Entry entry : entries.values()) {
            if (near(entry.vm)) {
                most = Math.max(most, entry.regionVms);
            }
        }
        return most;
    }

    /**
     * Tells whether others of this region probably have the same list.
     *
     * @param nowMillis steady time
     * @return false while this VM may miss some of them
     */
    public boolean settled(long nowMillis) {
        long unchanged = nowMillis - grewAtMillis;
        if (unchanged < SETTLE_MILLIS) {
            return false;
        }
        // Whoever is missing for that long is gone, as for those who knew it.
        return unchanged >= forgetMillis
                || (missingZones.isEmpty()
                        && size() >= smallestFleet
                        && regionVms.size() >= mostTold());
    }

    /**
     * Place of this VM among those of its region for a key. All VMs whose lists are the same have
     * different places.
     *
     * @param key what is shared out
     * @return 0 for the first
     */
    public int rank(String key) {
        long seed = Rendezvous.seed(key);
        long own = Rendezvous.seededWeight(seed, self.vm());
        int before = 0;
        for (String vm : regionVms) {
            if (Long.compareUnsigned(Rendezvous.seededWeight(seed, vm), own) > 0) {
                before++;
            }
        }
        return before;
    }

    private boolean note(MemberInfo vm, long heardAtMillis, long nowMillis) {
        if (vm.vm().equals(self.vm()) || outdated(heardAtMillis, nowMillis)) {
            return false;
        }
        Entry known = entries.get(vm.vm());
        if (known != null) {
            known.heard(vm, heardAtMillis);
            return true;
        }
        entries.put(vm.vm(), new Entry(vm, heardAtMillis));
        if (near(vm)) {
            grewAtMillis = nowMillis;
            index();
        }
        return true;
    }

    private boolean near(MemberInfo vm) {
        return vm.region().equals(self.region());
    }

    private boolean outdated(long heardAtMillis, long nowMillis) {
        return nowMillis - heardAtMillis > forgetMillis;
    }

    private void index() {
        List<String> names = new ArrayList<>(List.of(self.vm()));
        missingZones = new HashSet<>(regionZones);
        missingZones.remove(self.zone());
        for (Entry entry : entries.values()) {
            if (near(entry.vm)) {
                names.add(entry.vm.vm());
                missingZones.remove(entry.vm.zone());
            }
        }
        names.sort(Comparator.naturalOrder());
        regionVms = List.copyOf(names);
    }

    /** Another VM. */
    private static final class Entry {
        private MemberInfo vm;
        private long heardAtMillis;

        /** VMs of its region, as it said last; 0 if this process has not heard it. */
        private int regionVms;

        Entry(MemberInfo vm, long heardAtMillis) {
            this.vm = vm;
            this.heardAtMillis = heardAtMillis;
        }

        void heard(MemberInfo newer, long atMillis) {
            boolean laterLife = newer.incarnation() > vm.incarnation();
            boolean laterState =
                    newer.incarnation() == vm.incarnation()
                            && newer.state().compareTo(vm.state()) > 0;
            if (laterLife || laterState) {
                vm = newer;
            }
            heardAtMillis = Math.max(heardAtMillis, atMillis);
        }
    }
}
