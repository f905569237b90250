package io.vanillapoint.core.fleet;

import io.vanillapoint.core.hash.Rendezvous;

/**
 * Decides which VMs of a region read the platform's store themselves; the others copy its content
 * from those VMs.
 *
 * <p>Handles a store that charges for each call, limits the call rate and wakes up every watching
 * VM on each change: with hundreds of VMs the watches would cost more than all other control
 * traffic together. Invariant: a VM stops reading only while it receives recent heartbeats from
 * enough VMs that report that the store answers them, so a VM that is cut off from these, or reads
 * what they sent too late, reads the store itself. Stateless.
 */
public final class StoreReaders {
    /**
     * Number of VMs of a region that read the store. Two of them may fail or be refused by the
     * store at the same time. In a small deployment all VMs read.
     */
    public static final int PER_REGION = 3;

    private static final String RANK_KEY = "store readers";

    private StoreReaders() {}

    /**
     * Tells whether this VM should read the store.
     *
     * @param view the fleet
     * @param receiveDelayMillis time for which heartbeats have waited to be read
     * @param nowMillis monotonic time
     * @return false if enough VMs with a higher rank read it
     */
    public static boolean reads(FleetView view, long receiveDelayMillis, long nowMillis) {
        long own = Rendezvous.weight(RANK_KEY, view.self().vm());
        long higherRanked =
                new StoreVms(view)
                        .readersInRegion(nowMillis + receiveDelayMillis).stream()
                                .filter(
                                        vm ->
                                                Long.compareUnsigned(
                                                                Rendezvous.weight(RANK_KEY, vm),
                                                                own)
                                                        > 0)
                                .count();
        return higherRanked < PER_REGION;
    }
}
