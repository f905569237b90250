package io.vanillapoint.core.upstream;

import io.vanillapoint.core.fleet.FleetView;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.fleet.RegionVms;
import io.vanillapoint.core.fleet.VmRoster;
import io.vanillapoint.core.hash.Rendezvous;
import java.util.List;

/**
 * The VMs of this region that send to replicas whose rejections are limited, and their parts of the
 * slots.
 *
 * <p>Handles an overload in which a VM knows the load of the others only as of their last
 * heartbeat, so that VMs which take any slot that looks free exceed the slots together. Each slot
 * has one owner; a VM whose own slots are taken relays to the owners of others. With few slots for
 * each VM, a few VMs own all of them: a single slot would be idle whenever no request arrives at
 * its owner. Owners are chosen by rendezvous hashing from the VMs that are alive and reach the
 * replica. Invariants: VMs with the same view agree on the owners; while some VMs are not heard,
 * which may be cut off and choose owners among themselves, the parts shrink accordingly, down to
 * those that VMs would have if all were cut off from each other. They shrink before the VMs that
 * are not heard count as dead and others take over. Valid for one moment; confined to one thread.
 */
final class SlotOwners {
    /** Slots that an owner keeps busy most of the time during an overload. */
    private static final int MIN_SLOTS = 4;

    private final FleetView fleet;
    private final VmRoster roster;
    private final SlotTenure tenure;
    private final RegionVms regionVms;
    private final boolean fewSlots;
    private final List<MemberInfo> candidates;
    private final int runningVms;
    private final int heardVms;
    private final double heardFraction;
    private final long nowMillis;

    private SlotOwners(
            int slots, FleetView fleet, VmRoster roster, SlotTenure tenure, long nowMillis) {
        this.fleet = fleet;
        this.tenure = tenure;
        this.roster = roster;
        this.nowMillis = nowMillis;
        runningVms = roster.runningRegionVms();
        regionVms = new RegionVms(fleet);
        heardVms = Math.min(runningVms, regionVms.heard(nowMillis));
        heardFraction = tenure.heardFraction((double) heardVms / runningVms, nowMillis);
        fewSlots = slots < MIN_SLOTS * runningVms;
        int limit = fewSlots ? Math.max(1, slots / MIN_SLOTS) : Integer.MAX_VALUE;
        List<MemberInfo> ready = regionVms.ready(limit, nowMillis);
        candidates = ready.isEmpty() ? List.of(fleet.self()) : ready;
    }

    /**
     * Determines the owners of the slots of a service's replicas.
     *
     * @param replicas serving replicas of the service in this region
     * @param fleet VMs that are alive
     * @param roster VMs that may be running
     * @param tenure for how long this VM has owned slots
     * @param nowMillis monotonic time
     * @return the owners
     */
    static SlotOwners of(
            List<ReplicaTracker> replicas,
            FleetView fleet,
            VmRoster roster,
            SlotTenure tenure,
            long nowMillis) {
        int slots = replicas.stream().mapToInt(SlotOwners::slots).sum();
        return new SlotOwners(slots, fleet, roster, tenure, nowMillis);
    }

    /**
     * Tells whether this VM may send one more request to a replica.
     *
     * @param tracker a replica of this region
     * @return true if one of its slots is free; also false while requests of former owners are
     *     outstanding
     */
    boolean hasRoom(ReplicaTracker tracker) {
        int ownRequests = tracker.outstanding().requests();
        int otherRequests = fleet.otherVmUse(tracker.info().id()).requests();
        return ownRequests < part(tracker) && ownRequests + otherRequests < slots(tracker);
    }

    /**
     * Other VMs that own slots of a replica and to which requests can be relayed.
     *
     * @param tracker a replica of this region
     * @return new list
     */
    List<MemberInfo> others(ReplicaTracker tracker) {
        return owners(tracker).stream()
                .filter(vm -> !isSelf(vm) && regionVms.mayRelayTo(vm.vm(), nowMillis))
                .toList();
    }

    /**
     * Maximum number of VMs that may send to a replica, including owners that VMs which are cut off
     * may have chosen.
     *
     * @param tracker a replica of this region
     * @return number of VMs
     */
    int maxSenders(ReplicaTracker tracker) {
        return owners(tracker).size() + runningVms - heardVms;
    }

    /** Number of this VM's slots. */
    private int part(ReplicaTracker tracker) {
        List<MemberInfo> owners = owners(tracker);
        int index = 0;
        while (index < owners.size() && !isSelf(owners.get(index))) {
            index++;
        }
        if (index == owners.size() || !roster.knowsRegion()) {
            tenure.notOwner(tracker.info().id(), nowMillis);
            return 0;
        }
        if (!tenure.mayUse(tracker.info().id(), nowMillis)) {
            return 0;
        }
        int slots = slots(tracker);
        int part = slots / owners.size() + (index < slots % owners.size() ? 1 : 0);
        return Math.max((int) Math.ceil(part * heardFraction - 0.5), equalPart(tracker));
    }

    /** Number of this VM's slots if all VMs of the region, heard or not, had the same number. */
    private int equalPart(ReplicaTracker tracker) {
        int slots = slots(tracker);
        int vms = roster.regionVms().size();
        return slots / vms + (roster.rank(tracker.info().id()) < slots % vms ? 1 : 0);
    }

    private List<MemberInfo> owners(ReplicaTracker tracker) {
        List<MemberInfo> reaching = candidates.stream().filter(vm -> reaches(vm, tracker)).toList();
        long seed = Rendezvous.seed(tracker.info().id());
        int slots = slots(tracker);
        return (reaching.isEmpty() ? candidates : reaching)
                .stream()
                        .map(vm -> new Ranked(vm, Rendezvous.seededWeight(seed, vm.vm())))
                        .sorted()
                        .limit(fewSlots ? Math.max(1, slots / MIN_SLOTS) : slots)
                        .map(Ranked::vm)
                        .toList();
    }

    private boolean reaches(MemberInfo vm, ReplicaTracker tracker) {
        return isSelf(vm)
                ? !tracker.failing() && !tracker.ejected(nowMillis)
                : fleet.reach().reaches(vm.vm(), tracker.info().id(), nowMillis);
    }

    private boolean isSelf(MemberInfo vm) {
        return vm.vm().equals(fleet.self().vm());
    }

    private static int slots(ReplicaTracker tracker) {
        return Math.max(1, tracker.info().slots());
    }

    /** A VM with its rendezvous weight; the highest weight comes first. */
    private record Ranked(MemberInfo vm, long weight) implements Comparable<Ranked> {
        @Override
        public int compareTo(Ranked other) {
            return Long.compareUnsigned(other.weight, weight);
        }
    }
}
