package io.vanillapoint.core.message;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.VmId;
import java.util.ArrayList;
import java.util.List;

/**
 * The VMs that a request has passed through, in order. Immutable.
 *
 * @param hops the VMs with their regions
 */
public record VisitedPath(List<Hop> hops) {
    /** Maximum number of VMs on a path. */
    public static final int MAX_HOPS = 2;

    /** Copies the hops. */
    public VisitedPath {
        hops = List.copyOf(hops);
    }

    /**
     * The path of a request that has not visited any VM.
     *
     * @return a path without hops
     */
    public static VisitedPath empty() {
        return new VisitedPath(List.of());
    }

    /**
     * This path extended by one VM.
     *
     * @param hop the VM
     * @return a new path
     */
    public VisitedPath append(Hop hop) {
        List<Hop> extended = new ArrayList<>(hops);
        extended.add(hop);
        return new VisitedPath(extended);
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
     * Tells whether the path has reached the maximum length.
     *
     * @return true if it has {@link #MAX_HOPS} hops or more
     */
    public boolean isFull() {
        return hops.size() >= MAX_HOPS;
    }
}
