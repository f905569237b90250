package io.vanillapoint.core.fleet;

/**
 * Times of the membership protocol. Immutable.
 *
 * @param regionIntervalMillis time between heartbeats to VMs of the own region
 * @param otherIntervalMillis time between heartbeats to VMs of other regions
 * @param regionSilenceMillis silence after which a VM of the own region is taken to be cut off
 * @param otherSilenceMillis silence after which a VM of another region is taken to be cut off
 * @param suspectMillis silence after which a VM is not named to callers
 * @param drainTakesMillis time after a VM has begun to drain in which others still send it requests
 *     if no VM is ready; shorter than the time in which it takes them
 * @param forgetMillis silence after which a VM no longer counts as part of the fleet: longer than
 *     cuts between regions usually last
 */
public record FleetTiming(
        long regionIntervalMillis,
        long otherIntervalMillis,
        long regionSilenceMillis,
        long otherSilenceMillis,
        long suspectMillis,
        long drainTakesMillis,
        long forgetMillis) {
    /** Two lost heartbeats are no silence; three are. */
    public static final FleetTiming DEFAULT =
            new FleetTiming(200, 400, 700, 1_000, 2_000, 2_000, 300_000);
}
