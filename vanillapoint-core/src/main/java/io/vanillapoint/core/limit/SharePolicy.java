package io.vanillapoint.core.limit;

import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.message.HomeView;
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
        HomeView desiredView(VmId self, Collection<VmId> live) {
            return HomeView.of(live);
        }
    },
    /** Each VM keeps its share and requests tokens from the others when its own run out. */
    NO_DELEGATION(false, true) {
        @Override
        HomeView desiredView(VmId self, Collection<VmId> live) {
            return HomeView.of(List.of(self));
        }
    },
    /** Each VM keeps its share and requests no tokens from others. */
    STATIC_SPLIT(false, false) {
        @Override
        HomeView desiredView(VmId self, Collection<VmId> live) {
            return HomeView.of(List.of(self));
        }
    };

    private final boolean givesLeases;
    private final boolean asksOthers;

    SharePolicy(boolean givesLeases, boolean asksOthers) {
        this.givesLeases = givesLeases;
        this.asksOthers = asksOthers;
    }

    /**
     * Whether VMs lease their shares to each other.
     *
     * @return true for policies with home VMs
     */
    public boolean givesLeases() {
        return givesLeases;
    }

    /**
     * Whether a VM without enough tokens requests them from other VMs.
     *
     * @return true if it requests tokens from other VMs
     */
    public boolean asksOthers() {
        return asksOthers;
    }

    /** View that this VM should use to determine the homes of customers. */
    abstract HomeView desiredView(VmId self, Collection<VmId> live);
}
