package io.vanillapoint.core.fleet;

import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.hash.Rendezvous;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Decides which VMs of a region carry its requests.
 *
 * <p>Load pattern: a region has many VMs, most of them small, and a load that a few of the large
 * ones could carry. Spread over all, each request meets a VM whose code has hardly run, on a third
 * of a core and a narrow link. The largest VMs are named as long as they can carry the load, the
 * others stand by and are called in when it rises. Invariants: while the load is below what they
 * can carry, at least {@link #SMALLEST} VMs are named, in all zones in turn, so small deployments
 * use all VMs; a VM is named in proportion to its capacity. Stateless.
 */
public final class TrafficVms {
    /** VMs that are named at least, so that callers find another one when some are lost. */
    public static final int SMALLEST = 4;

    /**
     * Part of the VMs' processor time that requests may need before more VMs are called in. The
     * rest carries what comes until callers ask the directory again.
     */
    static final double TARGET_USE = 0.5;

    private static final String RANK = "traffic VMs";

    private static final Comparator<Ranked> LARGEST_FIRST =
            Comparator.comparingInt((Ranked ranked) -> ranked.vm.capacity())
                    .reversed()
                    .thenComparingLong(Ranked::place);

    private TrafficVms() {}

    /**
     * Chooses the VMs that carry requests.
     *
     * @param ready VMs that could
     * @return the largest of them, enough for the load of all
     */
    public static List<MemberInfo> carrying(List<VmLoad> ready) {
        long load = ready.stream().mapToLong(VmLoad::load).sum();
        List<MemberInfo> chosen = new ArrayList<>();
        long capacity = 0;
        for (MemberInfo vm : ranked(ready)) {
            if (chosen.size() >= SMALLEST && capacity * TARGET_USE >= load) {
                break;
            }
            chosen.add(vm);
            capacity += vm.capacity();
        }
        return chosen;
    }

    /**
     * Draws VMs for one caller, who uses each of those named equally often.
     *
     * @param carrying VMs that carry requests
     * @param random numbers from 0 to 1
     * @return the largest VMs always, smaller ones as often as their capacity is to the largest's
     */
    public static List<MemberInfo> sample(List<MemberInfo> carrying, DoubleSupplier random) {
        int largest = carrying.stream().mapToInt(MemberInfo::capacity).max().orElse(0);
        return carrying.stream()
                .filter(
                        vm ->
                                vm.capacity() == largest
                                        || random.getAsDouble() * largest < vm.capacity())
                .toList();
    }

    /** Largest first; among equal ones, the first of each zone before the second of any. */
    private static List<MemberInfo> ranked(List<VmLoad> ready) {
        List<Ranked> bySize =
                ready.stream()
                        .map(VmLoad::vm)
                        .map(vm -> new Ranked(vm, Rendezvous.weight(RANK, vm.vm())))
                        .sorted(LARGEST_FIRST)
                        .toList();
        Map<ZoneId, Integer> places = new HashMap<>();
        List<Ranked> zonesInTurn = new ArrayList<>();
        for (Ranked ranked : bySize) {
            MemberInfo vm = ranked.vm();
            zonesInTurn.add(new Ranked(vm, places.merge(vm.zone(), 1, Integer::sum)));
        }
        zonesInTurn.sort(LARGEST_FIRST);
        return zonesInTurn.stream().map(Ranked::vm).toList();
    }

    /**
     * A VM and what its requests need. Immutable.
     *
     * @param vm the VM
     * @param load thousandths of a core
     */
    public record VmLoad(MemberInfo vm, int load) {}

    /** A VM with its place among VMs of the same size. */
    private record Ranked(MemberInfo vm, long place) {}
}
