package io.vanillapoint.entry.control;

import io.vanillapoint.api.finding.Findings;
import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.published.GatewayPublication;
import io.vanillapoint.core.published.PublishedFormat;
import io.vanillapoint.core.published.ReplicaState;
import io.vanillapoint.core.published.ServiceSpec;
import io.vanillapoint.core.published.StoredItem;
import io.vanillapoint.core.published.TrafficLimits;
import io.vanillapoint.core.published.UpstreamReplica;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * A format in which the first letter of a key names its kind, all replicas are of one service, and
 * one kind of value raises an error. Confined to one event loop, except for the error.
 */
final class OddValues implements PublishedFormat {
    volatile Throwable error;
    int readings;

    @Override
    public Kind kind(String key) {
        return switch (key.charAt(0)) {
            case 'c' -> Kind.CONFIGURATION;
            case 'r', 'o' -> Kind.REPLICA;
            case 'e' -> Kind.EVACUATION;
            default -> Kind.OTHER;
        };
    }

    @Override
    public String name(String key) {
        return key;
    }

    @Override
    public Optional<GatewayPublication> configuration(StoredItem item, Findings findings) {
        readings++;
        failIfOdd(item);
        return Optional.of(
                new GatewayPublication(
                        item.revision(),
                        List.of(),
                        List.of(new ServiceSpec("s", 100, 0, 0, Optional.empty())),
                        List.of(),
                        TrafficLimits.DEFAULT));
    }

    @Override
    public Optional<UpstreamReplica> replica(StoredItem item, Findings findings) {
        readings++;
        failIfOdd(item);
        return Optional.of(
                new UpstreamReplica(
                        item.key(),
                        "s",
                        new Endpoint("127.0.0.1", 1),
                        new ZoneId("z"),
                        6,
                        ReplicaState.READY,
                        0,
                        1,
                        Set.of()));
    }

    private void failIfOdd(StoredItem item) {
        if (error != null && item.key().startsWith("odd")
                || error != null && item.key().startsWith("config-odd")) {
            sneakyThrow(error);
        }
    }

    @SuppressWarnings("unchecked")
    static <T extends Throwable> void sneakyThrow(Throwable thrown) throws T {
        throw (T) thrown;
    }
}
