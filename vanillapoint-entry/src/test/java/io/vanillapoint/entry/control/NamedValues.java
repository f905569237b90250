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
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * A format in which the text of a configuration lists its services, and that of a replica's entry
 * has the name of its service and, separated by blanks, how long it is cold, when it started and
 * its zone. Stateless.
 */
class NamedValues implements PublishedFormat {
    static final String CONFIGURATION = "config";
    static final String REPLICAS = "replica/";
    static final ZoneId ZONE = new ZoneId("z");

    static StoredItem item(String key, long revision, String text) {
        return new StoredItem(key, revision, false, text.getBytes(StandardCharsets.UTF_8));
    }

    static StoredItem removed(String key, long revision) {
        return new StoredItem(key, revision, true, new byte[0]);
    }

    @Override
    public Kind kind(String key) {
        if (key.equals(CONFIGURATION)) {
            return Kind.CONFIGURATION;
        }
        return key.startsWith(REPLICAS) ? Kind.REPLICA : Kind.OTHER;
    }

    @Override
    public String name(String key) {
        return key.substring(REPLICAS.length());
    }

    @Override
    public Optional<GatewayPublication> configuration(StoredItem item, Findings findings) {
        List<ServiceSpec> services =
                Arrays.stream(text(item).split(","))
                        .map(name -> new ServiceSpec(name, 100, 0, 0, Optional.empty()))
                        .toList();
        return Optional.of(
                new GatewayPublication(
                        item.revision(), List.of(), services, List.of(), TrafficLimits.DEFAULT));
    }

    @Override
    public Optional<UpstreamReplica> replica(StoredItem item, Findings findings) {
        String[] fields = text(item).split(" ");
        return Optional.of(
                new UpstreamReplica(
                        name(item.key()),
                        fields[0],
                        new Endpoint("127.0.0.1", 1),
                        fields.length > 3 ? new ZoneId(fields[3]) : ZONE,
                        6,
                        ReplicaState.READY,
                        fields.length > 1 ? Long.parseLong(fields[1]) : 0,
                        fields.length > 2 ? Long.parseLong(fields[2]) : 1,
                        Set.of()));
    }

    private static String text(StoredItem item) {
        return new String(item.value(), StandardCharsets.UTF_8);
    }
}
