package io.vanillapoint.core.published;

import io.vanillapoint.api.finding.Findings;
import java.util.Optional;

/** Reads what a platform publishes. Implementations are stateless. */
public interface PublishedFormat {
    /** What a key of the store stands for. */
    enum Kind {
        /** The operators' configuration. */
        CONFIGURATION,
        /** A replica of a service. */
        REPLICA,
        /** A zone that is evacuated. */
        EVACUATION,
        /** Something that the gateway does not use. */
        OTHER
    }

    /**
     * Tells what a key stands for.
     *
     * @param key key in the store
     * @return its kind
     */
    Kind kind(String key);

    /**
     * Name of the replica or zone of a key.
     *
     * @param key key of a replica or an evacuation
     * @return the name
     */
    String name(String key);

    /**
     * Reads the configuration.
     *
     * @param item value of the store
     * @param findings where faults are collected
     * @return the configuration, or nothing if there are findings
     */
    Optional<GatewayPublication> configuration(StoredItem item, Findings findings);

    /**
     * Reads a replica.
     *
     * @param item value of the store
     * @param findings where faults are collected
     * @return the replica, or nothing if there are findings
     */
    Optional<UpstreamReplica> replica(StoredItem item, Findings findings);
}
