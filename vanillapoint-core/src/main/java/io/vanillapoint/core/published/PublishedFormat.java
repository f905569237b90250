package io.vanillapoint.core.published;

import io.vanillapoint.api.finding.Findings;
import java.util.Optional;

/** Decodes the keys and values of a platform's store. Implementations are stateless. */
public interface PublishedFormat {
    /** What a key of the store describes. */
    enum Kind {
        /** The operators' configuration. */
        CONFIGURATION,
        /** A replica of a service. */
        REPLICA,
        /** A zone that is evacuated. */
        EVACUATION,
        /** A key that the gateway ignores. */
        OTHER
    }

    /**
     * Classifies a key.
     *
     * @param key key in the store
     * @return its kind
     */
    Kind kind(String key);

    /**
     * Name of the replica or zone that a key describes.
     *
     * @param key key of a replica or an evacuation
     * @return the name
     */
    String name(String key);

    /**
     * Decodes the configuration.
     *
     * @param item value of the store
     * @param findings collects the errors
     * @return the configuration, or nothing if there are findings
     */
    Optional<GatewayPublication> configuration(StoredItem item, Findings findings);

    /**
     * Decodes a replica.
     *
     * @param item value of the store
     * @param findings collects the errors
     * @return the replica, or nothing if there are findings
     */
    Optional<UpstreamReplica> replica(StoredItem item, Findings findings);
}
