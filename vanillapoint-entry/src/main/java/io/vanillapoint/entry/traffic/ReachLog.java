package io.vanillapoint.entry.traffic;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.upstream.ReplicaTracker;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Logs when this VM no longer reaches any replica of a service in its region, and when it does
 * again. Confined to one event loop.
 */
public final class ReachLog {
    private final EntryContext context;

    /** Services out of reach, with the monotonic time since when. */
    private final Map<String, Long> outOfReachSince = new HashMap<>();

    /**
     * Creates a log of a VM that reaches all replicas.
     *
     * @param context shared services
     */
    public ReachLog(EntryContext context) {
        this.context = context;
    }

    /** Logs what has changed since the last call. */
    public void check() {
        long now = context.clock().getAsLong();
        RegionId region = context.fleet().self().region();
        Set<String> unreachable = context.pool().unreachable(region, now);
        for (String service : context.pool().services()) {
            Set<String> replicas =
                    context.pool().serving(service, now).stream()
                            .filter(tracker -> tracker.region().equals(region))
                            .map(ReplicaTracker::info)
                            .map(info -> info.id())
                            .collect(Collectors.toSet());
            boolean outOfReach = !replicas.isEmpty() && unreachable.containsAll(replicas);
            if (outOfReach && !outOfReachSince.containsKey(service)) {
                outOfReachSince.put(service, now);
                int vms =
                        context.fleet()
                                .reach()
                                .reachingVms(region, replicas, vm -> true, now)
                                .size();
                context.log()
                        .record(EventCode.REPLICAS_OUT_OF_REACH, service, replicas.size(), vms);
                context.metrics().count("replicas_out_of_reach");
            } else if (!outOfReach && outOfReachSince.containsKey(service)) {
                long since = outOfReachSince.remove(service);
                context.log()
                        .record(EventCode.REPLICAS_IN_REACH, service, replicas.size(), now - since);
            }
        }
    }
}
