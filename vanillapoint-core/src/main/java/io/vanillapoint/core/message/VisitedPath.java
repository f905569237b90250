package io.vanillapoint.core.message;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.VmId;
import java.util.ArrayList;
import java.util.List;

/**
 * VMs that a request has visited, in order. Immutable.
 *
 * @param hops the VMs with their regions
 */
public record VisitedPath(List<Hop> hops) {
    /** Largest number of VMs on a path. */
    public static final int MAX_HOPS = 2;

    /** Copies the hops. */
    public VisitedPath {
        hops = List.copyOf(hops);
    }

    /**
     * Path of a request that no VM has seen.
     *
     * @return a path without hops
     */
    public static VisitedPath empty() {
        return new VisitedPath(List.of());
    }

    /**
     * This path with one more VM.
     *
     * @param hop the VM
     * @return a longer path
     */
    public VisitedPath with(Hop hop) {
        List<Hop> longer = new ArrayList<>(hops);
        longer.add(hop);
        return new VisitedPath(longer);
    }

    /**
     * Tells whether a VM has been visited.
     *
     * @param vm the VM
     * @return true if it is on the path
     */
    public boolean visited(VmId vm) {
        return hops.stream().anyMatch(hop -> hop.vm().equals(vm));
    }

    /**
     * Tells whether a region has been visited.
     *
     * @param region the region
     * @return true if a VM of it is on the path
     */
    public boolean visited(RegionId region) {
        return hops.stream().anyMatch(hop -> hop.region().equals(region));
    }

    /**
     * Tells whether the path may not grow any more.
     *
     * @return true at the largest number of hops
     */
    public boolean isFull() {
        return hops.size() >= MAX_HOPS;
    }
}
