package io.vanillapoint.core.fleet;

/**
 * Times of the membership protocol. Immutable.
 *
 * @param regionIntervalMillis time between heartbeats to VMs of the own region
 * @param otherIntervalMillis time between heartbeats to VMs of other regions
 * @param suspectMillis silence after which a VM is not named to callers: several lost heartbeats
 * @param forgetMillis silence after which a VM no longer counts as part of the fleet
 */
public record FleetTiming(
        long regionIntervalMillis, long otherIntervalMillis, long suspectMillis, long forgetMillis) {
    /** Four reports to other regions may be lost before a VM is suspected. */
    public static final FleetTiming DEFAULT = new FleetTiming(200, 500, 2_000, 30_000);
}
