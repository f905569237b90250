package io.vanillapoint.core.fleet;

import io.vanillapoint.core.hash.Rendezvous;

/**
 * Decides which VMs of a region read the platform's store themselves; the others copy what those
 * know.
 *
 * <p>Load pattern: the store charges for each call and bounds their rate, and each change wakes up
 * every VM that watches it, so with hundreds of VMs the watches cost more than all other control
 * together. Invariant: a VM stops reading only while it hears enough VMs that say that the store
 * answers them, so a VM that is cut off from them reads by itself. Stateless.
 */
public final class StoreReaders {
    /**
     * VMs of a region that read. Two may be lost or refused by the store at the same time; all VMs
     * of a small deployment read.
     */
    public static final int PER_REGION = 3;

    private static final String RANK = "store readers";

    private StoreReaders() {}

    /**
     * Tells whether this VM is to read the store.
     *
     * @param view the fleet
     * @param nowMillis steady time
     * @return false if enough VMs of a higher rank do so
     */
    public static boolean reads(FleetView view, long nowMillis) {
        long own = Rendezvous.weight(RANK, view.self().vm());
        long before =
                view.storeReaders(nowMillis).stream()
                        .filter(vm -> Long.compareUnsigned(Rendezvous.weight(RANK, vm), own) > 0)
                        .count();
        return before < PER_REGION;
    }
}
