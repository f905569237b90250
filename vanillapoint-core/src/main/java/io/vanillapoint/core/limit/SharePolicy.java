package io.vanillapoint.core.limit;

import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.message.PlacementView;
import java.util.Collection;
import java.util.List;

/** Policy by which the VMs of a region split a customer's rate limit. Immutable. */
public enum SharePolicy {
    /**
     * Each VM leases its share to the customer's home VM, which serves the token requests of all
     * other VMs.
     */
    DELEGATED(true, true) {
        @Override
        PlacementView desiredView(VmId self, Collection<VmId> live) {
            return PlacementView.of(live);
        }
    },
    /** Each VM keeps its share and requests tokens from the others when its own run out. */
    NO_DELEGATION(false, true) {
        @Override
        PlacementView desiredView(VmId self, Collection<VmId> live) {
            return PlacementView.of(List.of(self));
        }
    },
    /** Each VM keeps its share and requests no tokens from others. */
    STATIC_SPLIT(false, false) {
        @Override
        PlacementView desiredView(VmId self, Collection<VmId> live) {
            return PlacementView.of(List.of(self));
        }
    };

    private final boolean grantsLeases;
    private final boolean requestsFromOthers;

    SharePolicy(boolean grantsLeases, boolean requestsFromOthers) {
        this.grantsLeases = grantsLeases;
        this.requestsFromOthers = requestsFromOthers;
    }

    /**
     * Whether VMs lease their shares to each other.
     *
     * @return true for policies with home VMs
     */
    public boolean grantsLeases() {
        return grantsLeases;
    }

    /**
     * Whether a VM without enough tokens requests them from other VMs.
     *
     * @return true if it requests tokens from other VMs
     */
    public boolean requestsFromOthers() {
        return requestsFromOthers;
    }

    /** View that this VM should use to determine the homes of customers. */
    abstract PlacementView desiredView(VmId self, Collection<VmId> live);
}
