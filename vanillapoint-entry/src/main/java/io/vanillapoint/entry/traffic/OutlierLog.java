package io.vanillapoint.entry.traffic;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.core.upstream.ReplicaTracker;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Logs when a replica is ejected because it fails clearly more requests than is usual for its
 * service, and when its ejection ends. Confined to one event loop.
 */
public final class OutlierLog {
    private final EntryContext context;

    /** Ejected replicas, with the monotonic time since when. */
    private final Map<String, Long> ejectedSince = new HashMap<>();

    /**
     * Creates a log without ejected replicas.
     *
     * @param context shared services
     */
    public OutlierLog(EntryContext context) {
        this.context = context;
        context.metrics().gauge("replicas.ejected_now", ejectedSince::size);
    }

    /** Logs what has changed since the last call. */
    public void check() {
        long now = context.clock().getAsLong();
        Set<String> ejected = new HashSet<>();
        if (context.pool().loadAwareness().active(now)) {
            for (ReplicaTracker tracker : context.pool().replicas()) {
                if (tracker.outlier()) {
                    ejected.add(tracker.info().id());
                    recordEjected(tracker, now);
                }
            }
        }
        for (String id : Set.copyOf(ejectedSince.keySet())) {
            if (!ejected.contains(id)) {
                long ejectedMillis = now - ejectedSince.remove(id);
                context.log().record(EventCode.REPLICA_REINSTATED, id, ejectedMillis);
            }
        }
    }

    private void recordEjected(ReplicaTracker tracker, long now) {
        String id = tracker.info().id();
        if (ejectedSince.putIfAbsent(id, now) == null) {
            context.log()
                    .record(
                            EventCode.REPLICA_EJECTED,
                            id,
                            tracker.info().service(),
                            Math.round(100 * tracker.observedFailureRate()),
                            Math.round(
                                    100
                                            * context.pool()
                                                    .usualFailureRate(tracker.info().service())));
            context.metrics().count("replicas_ejected");
        }
    }
}
