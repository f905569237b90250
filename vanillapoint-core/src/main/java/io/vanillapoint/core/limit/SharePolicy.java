package io.vanillapoint.core.limit;

import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.message.HomeView;
import java.util.Collection;
import java.util.List;

/** How the VMs of a region use their shares of a customer's rate. Immutable. */
public enum SharePolicy {
    /** Each VM leases its share to the customer's home VM, which every other VM asks. */
    DELEGATED(true, true) {
        @Override
        HomeView view(VmId self, Collection<VmId> live) {
            return HomeView.of(live);
        }
    },
    /** Each VM keeps its share and asks the others when it runs out. */
    NO_DELEGATION(false, true) {
        @Override
        HomeView view(VmId self, Collection<VmId> live) {
            return HomeView.of(List.of(self));
        }
    },
    /** Each VM keeps its share and asks nobody. */
    STATIC_SPLIT(false, false) {
        @Override
        HomeView view(VmId self, Collection<VmId> live) {
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
     * Tells whether VMs lease their shares to each other.
     *
     * @return true for policies with home VMs
     */
    public boolean givesLeases() {
        return givesLeases;
    }

    /**
     * Tells whether a VM without enough tokens asks other VMs.
     *
     * @return true if it does
     */
    public boolean asksOthers() {
        return asksOthers;
    }

    /** View under which a VM wants its customers placed. */
    abstract HomeView view(VmId self, Collection<VmId> live);
}
