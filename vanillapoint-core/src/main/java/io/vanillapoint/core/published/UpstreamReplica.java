package io.vanillapoint.core.published;

import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.api.model.ZoneId;
import java.util.Set;

/**
 * A replica of a service as it registered itself. Immutable.
 *
 * @param id identity of the replica, checked by the replica itself on each request
 * @param service name of the service
 * @param endpoint where it listens
 * @param zone availability zone
 * @param slots requests that it runs at once
 * @param state whether it accepts new requests
 * @param coldMillis remaining cold time when it published this entry
 * @param startedAtMillis wall-clock time of its start, changes with a restart under the same id
 * @param models names of the models that it has loaded, empty for a plain service
 */
public record UpstreamReplica(
        String id,
        String service,
        Endpoint endpoint,
        ZoneId zone,
        int slots,
        ReplicaState state,
        long coldMillis,
        long startedAtMillis,
        Set<String> models) {
    /** Copies the models. */
    public UpstreamReplica {
        models = Set.copyOf(models);
    }
}
