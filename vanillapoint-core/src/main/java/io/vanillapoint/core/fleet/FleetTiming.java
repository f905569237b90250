package io.vanillapoint.core.fleet;

/**
 * Intervals and timeouts of the membership protocol. Immutable.
 *
 * @param regionIntervalMillis time between heartbeats to VMs of the own region
 * @param otherIntervalMillis time between heartbeats to VMs of other regions
 * @param regionSilenceMillis silence after which a VM of the own region counts as unreachable
 * @param otherSilenceMillis silence after which a VM of another region counts as unreachable
 * @param suspectMillis silence after which a VM is suspected and no longer returned to callers
 * @param drainAcceptMillis time after the start of a drain in which other VMs still send requests
 *     to the draining VM if no VM is ready; shorter than the time for which it accepts them
 * @param drainFinishMillis time after the start of a drain in which the draining VM still admits
 *     requests that end soon
 * @param forgetMillis silence after which a VM is removed from the fleet; longer than network
 *     partitions between regions usually last
 */
public record FleetTiming(
        long regionIntervalMillis,
        long otherIntervalMillis,
        long regionSilenceMillis,
        long otherSilenceMillis,
        long suspectMillis,
        long drainAcceptMillis,
        long drainFinishMillis,
        long forgetMillis) {
    /** Tolerates two consecutive lost heartbeats; three count as silence. */
    public static final FleetTiming DEFAULT =
            new FleetTiming(200, 400, 700, 1_000, 2_000, 2_000, 5_000, 300_000);
}
