package io.vanillapoint.core.upstream;

import java.util.HashMap;
import java.util.Map;

/**
 * For how long this VM has owned slots of replicas whose rejections are limited.
 *
 * <p>Handles VMs that start, end or are cut off: until all VMs have the same view, several may take
 * themselves for the owner of a slot. Invariant: a new owner, or one whose part grows since more
 * VMs are heard, waits until the news has reached the former owners and their requests are mostly
 * over. Confined to one thread.
 */
final class SlotTenure {
    /** Longest time until heartbeats have told all VMs of a region, with one heartbeat lost. */
    static final long TAKEOVER_MILLIS = 600;

    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    private final Map<String, Long> notOwnerAtMillis = new HashMap<>();
    private double heardFraction = 1;
    private long heardFractionAtMillis = NEVER_MILLIS;

    /** Records that this VM owns no slots of a replica at present. */
    void notOwner(String replica, long nowMillis) {
        notOwnerAtMillis.put(replica, nowMillis);
    }

    /** Tells whether this VM may use the slots that it owns by its present view. */
    boolean mayUse(String replica, long nowMillis) {
        Long atMillis = notOwnerAtMillis.get(replica);
        if (atMillis == null) {
            return true;
        }
        if (nowMillis - atMillis <= TAKEOVER_MILLIS) {
            return false;
        }
        notOwnerAtMillis.remove(replica);
        return true;
    }

    /** The lowest recent fraction of the region's VMs that were heard. */
    double heardFraction(double present, long nowMillis) {
        if (present <= heardFraction || nowMillis - heardFractionAtMillis > TAKEOVER_MILLIS) {
            heardFraction = present;
            heardFractionAtMillis = nowMillis;
        }
        return heardFraction;
    }
}
