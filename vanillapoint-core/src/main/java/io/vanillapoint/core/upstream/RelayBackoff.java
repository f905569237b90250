package io.vanillapoint.core.upstream;

import io.vanillapoint.core.fleet.FleetView;
import java.util.HashMap;
import java.util.Map;

/**
 * Other regions, and VMs of this region, that have refused a relayed request because no replica of
 * the service has room.
 *
 * <p>Handles a region or VM whose state differs from what its last heartbeats say: without this,
 * request after request would travel there and back. It counts as having no room for the service
 * until a later heartbeat of the VM that refused, and for {@link #MAX_MILLIS} at most. Then one
 * request tries it, and others follow unless that one is refused within a round trip. Confined to
 * one thread.
 */
final class RelayBackoff {
    /** Longest time for which a refusal counts, if no later heartbeat arrives. */
    static final long MAX_MILLIS = 400;

    /**
     * Longest time until the refusal of a relayed request arrives, and in which a heartbeat may
     * arrive that was sent before a refusal.
     */
    static final long ROUND_TRIP_MILLIS = 200;

    private static final long NOT_TRIED = Long.MAX_VALUE;

    private final FleetView fleet;
    private final Map<Place, Refusal> refusals = new HashMap<>();

    RelayBackoff(FleetView fleet) {
        this.fleet = fleet;
    }

    /**
     * Records that a VM had no replica for a relayed request. The target is the name of its region
     * or, if that is this VM's own, the name of the VM.
     */
    void notPlaced(String service, String target, String vm, long nowMillis) {
        refusals.put(new Place(service, target), new Refusal(vm, nowMillis, NOT_TRIED));
    }

    /** Records that a request is relayed to a region or VM. */
    void relayed(String service, String target, long nowMillis) {
        refusals.computeIfPresent(
                new Place(service, target),
                (place, last) ->
                        last.tried() ? null : new Refusal(last.vm, last.atMillis, nowMillis));
    }

    /** Tells whether the region or VM counts as having no room for the service. */
    boolean active(String service, String target, long nowMillis) {
        Refusal last = refusals.get(new Place(service, target));
        if (last == null) {
            return false;
        }
        if (last.tried()) {
            return nowMillis - last.triedAtMillis <= ROUND_TRIP_MILLIS;
        }
        boolean newerReport = fleet.lastReportMillis(last.vm) > last.atMillis + ROUND_TRIP_MILLIS;
        return nowMillis - last.atMillis <= MAX_MILLIS && !newerReport;
    }

    private record Place(String service, String target) {}

    /** The last refusal of a region or VM, and when a request tried it again. */
    private record Refusal(String vm, long atMillis, long triedAtMillis) {
        boolean tried() {
            return triedAtMillis != NOT_TRIED;
        }
    }
}
