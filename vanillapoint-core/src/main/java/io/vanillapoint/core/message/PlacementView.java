package io.vanillapoint.core.message;

import io.vanillapoint.api.model.CustomerId;
import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.hash.Rendezvous;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

/**
 * The VMs that can be the home of a customer. Equal views give every customer the same home.
 *
 * <p>Invariant: the VMs are sorted and distinct. Immutable.
 *
 * @param vms names of the VMs
 */
public record PlacementView(List<VmId> vms) {
    /** Sorts the VMs and removes duplicates. */
    public PlacementView {
        vms = List.copyOf(new TreeSet<>(vms));
    }

    /**
     * Creates a view.
     *
     * @param vms names of the VMs in any order
     * @return the view
     */
    public static PlacementView of(Collection<VmId> vms) {
        return new PlacementView(List.copyOf(vms));
    }

    /**
     * Home of a customer under this view.
     *
     * @param customer name of the customer
     * @return the VM, or empty if the view has no VMs
     */
    public Optional<VmId> home(CustomerId customer) {
        return Rendezvous.pick(customer.value(), vms, VmId::value);
    }
}
