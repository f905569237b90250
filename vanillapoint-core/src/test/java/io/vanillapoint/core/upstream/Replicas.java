package io.vanillapoint.core.upstream;

import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.published.ReplicaState;
import io.vanillapoint.core.published.UpstreamReplica;
import java.util.Set;

/** Replica entries of the service "s". */
final class Replicas {
    static final ZoneId ZONE = new ZoneId("z");

    private Replicas() {}

    /** A replica that accepts requests. */
    static UpstreamReplica ready(String id, long startedAtMillis, long coldMillis) {
        return new UpstreamReplica(
                id,
                "s",
                new Endpoint("10.0.0.1", 80),
                ZONE,
                8,
                ReplicaState.READY,
                coldMillis,
                startedAtMillis,
                Set.of());
    }
}
