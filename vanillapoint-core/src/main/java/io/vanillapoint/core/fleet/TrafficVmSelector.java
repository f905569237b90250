package io.vanillapoint.core.fleet;

import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.hash.Rendezvous;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

/**
 * Selects the VMs that carry the requests of a region.
 *
 * <p>Handles regions with many VMs, most of them small, and a load that a few of the large ones
 * could carry. If the load were spread over all VMs, each request would reach one whose code has
 * hardly run, with a third of a core and a narrow link. So the largest VMs are selected as long as
 * they can carry the load; the others stand by and are added when the load rises. Invariants: while
 * the load is below what they can carry, at least {@link #MIN_VMS} VMs are selected, alternating
 * between zones, so small deployments use all VMs; callers are sent to a VM in proportion to its
 * capacity. Stateless.
 */
public final class TrafficVmSelector {
    /** Minimum number of selected VMs, so that callers find another one when some fail. */
    public static final int MIN_VMS = 4;

    /**
     * Fraction of the selected VMs' processor time that requests may need before more VMs are
     * added. The rest is headroom for requests that arrive before callers ask the directory again.
     */
    static final double TARGET_UTILIZATION = 0.5;

    private static final String RANK_KEY = "traffic VMs";

    private static final Comparator<Ranked> LARGEST_FIRST =
            Comparator.comparingInt((Ranked ranked) -> ranked.vm.capacity())
                    .reversed()
                    .thenComparingLong(Ranked::position);

    private TrafficVmSelector() {}

    /**
     * Selects the VMs that carry requests.
     *
     * @param ready VMs that accept requests
     * @return the largest of them, enough for the total load
     */
    public static List<MemberInfo> select(List<VmLoad> ready) {
        long load = ready.stream().mapToLong(VmLoad::load).sum();
        List<MemberInfo> selected = new ArrayList<>();
        long capacity = 0;
        for (MemberInfo vm : ranked(ready.stream().map(VmLoad::vm).toList())) {
            if (selected.size() >= MIN_VMS && capacity * TARGET_UTILIZATION >= load) {
                break;
            }
            selected.add(vm);
            capacity += vm.capacity();
        }
        return selected;
    }

    /**
     * Selects the VMs that carry requests among preferred ones, unless these can't carry the total
     * load.
     *
     * @param ready VMs that accept requests
     * @param preferred tells which of them are preferred
     * @return the largest of them, enough for the total load
     */
    static List<MemberInfo> select(List<VmLoad> ready, Predicate<MemberInfo> preferred) {
        List<VmLoad> chosen = ready.stream().filter(vm -> preferred.test(vm.vm())).toList();
        long capacity = chosen.stream().mapToLong(vm -> vm.vm().capacity()).sum();
        long load = ready.stream().mapToLong(VmLoad::load).sum();
        return select(chosen.isEmpty() || capacity < load ? ready : chosen);
    }

    /**
     * The VMs that would be selected first, whatever their load.
     *
     * @param ready VMs that accept requests
     * @param limit maximum number of VMs
     * @return the largest of them
     */
    static List<MemberInfo> largest(List<MemberInfo> ready, int limit) {
        return ranked(ready).stream().limit(limit).toList();
    }

    /**
     * Samples VMs for one caller, which spreads its requests evenly over those it is given.
     *
     * @param selected VMs that carry requests
     * @param random random numbers in [0, 1)
     * @return all VMs of the largest capacity, and each smaller one with the probability of its
     *     capacity divided by the largest
     */
    public static List<MemberInfo> sample(List<MemberInfo> selected, DoubleSupplier random) {
        int largest = selected.stream().mapToInt(MemberInfo::capacity).max().orElse(0);
        return selected.stream()
                .filter(
                        vm ->
                                vm.capacity() == largest
                                        || random.getAsDouble() * largest < vm.capacity())
                .toList();
    }

    /**
     * Sorts by capacity, largest first; among equal ones, the first VM of each zone comes before
     * the second of any zone.
     */
    private static List<MemberInfo> ranked(List<MemberInfo> ready) {
        List<Ranked> byCapacity =
                ready.stream()
                        .map(vm -> new Ranked(vm, Rendezvous.weight(RANK_KEY, vm.vm())))
                        .sorted(LARGEST_FIRST)
                        .toList();
        Map<ZoneId, Integer> vmsByZone = new HashMap<>();
        List<Ranked> alternatingZones = new ArrayList<>();
        for (Ranked ranked : byCapacity) {
            MemberInfo vm = ranked.vm();
            alternatingZones.add(new Ranked(vm, vmsByZone.merge(vm.zone(), 1, Integer::sum)));
        }
        alternatingZones.sort(LARGEST_FIRST);
        return alternatingZones.stream().map(Ranked::vm).toList();
    }

    /**
     * A VM and its load. Immutable.
     *
     * @param vm the VM
     * @param load processor time that its requests need, in thousandths of a core
     */
    public record VmLoad(MemberInfo vm, int load) {}

    /** A VM with its sort position among VMs of the same capacity. */
    private record Ranked(MemberInfo vm, long position) {}
}
