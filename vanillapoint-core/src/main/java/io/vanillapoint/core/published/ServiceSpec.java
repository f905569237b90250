package io.vanillapoint.core.published;

import java.util.Optional;

/**
 * One service of the configuration. Immutable.
 *
 * @param name name in the configuration
 * @param connectionLimit connections that one replica accepts from all VMs together
 * @param coldMillis how long a replica is cold after its start
 * @param coldPerSecond requests per second that a cold replica accepts, 0 for no limit
 * @param engine sizes of the engines, empty for a plain service
 */
public record ServiceSpec(
        String name,
        int connectionLimit,
        long coldMillis,
        double coldPerSecond,
        Optional<EngineSpec> engine) {}
