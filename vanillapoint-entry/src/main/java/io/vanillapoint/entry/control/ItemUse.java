package io.vanillapoint.entry.control;

import io.vanillapoint.api.finding.Findings;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.published.GatewayPublication;
import io.vanillapoint.core.published.Importance;
import io.vanillapoint.core.published.PublishedFormat;
import io.vanillapoint.core.published.StoredItem;
import io.vanillapoint.core.published.UpstreamReplica;
import io.vanillapoint.core.upstream.UpstreamPool;
import java.util.List;
import java.util.Set;

/**
 * Tells what this VM uses of the store.
 *
 * <p>Invariant: an entry is in use only if it can be read, its zone is part of the fleet and the
 * configuration in force names its service; until one is in force, the one that was read first.
 * Confined to one thread.
 */
final class ItemUse {
    private final PublishedFormat format;
    private final UpstreamPool pool;
    private Set<String> services = Set.of();
    private boolean configured;

    ItemUse(PublishedFormat format, UpstreamPool pool) {
        this.format = format;
        this.pool = pool;
    }

    /** Takes the services of the configuration in force. */
    void configure(GatewayPublication publication) {
        services = publication.serviceNames();
        configured = true;
    }

    /** Takes the services of a configuration that may be in force soon, if none is yet. */
    void expect(List<StoredItem> items) {
        for (StoredItem item : items) {
            if (!configured && format.kind(item.key()) == PublishedFormat.Kind.CONFIGURATION) {
                format.configuration(item, new Findings())
                        .ifPresent(publication -> services = publication.serviceNames());
            }
        }
    }

    /** Services that the configuration in force names, none before the first. */
    Set<String> configuredServices() {
        return configured ? services : Set.of();
    }

    /** Tells whether a replica may receive requests under the configuration in force. */
    boolean isUsable(UpstreamReplica replica) {
        return configured && isNamed(replica);
    }

    private boolean isNamed(UpstreamReplica replica) {
        return services.contains(replica.service()) && pool.knowsZone(replica.zone());
    }

    /** Importance of an item that is not removed. */
    Importance importance(StoredItem item) {
        return switch (format.kind(item.key())) {
            case CONFIGURATION -> Importance.ESSENTIAL;
            case EVACUATION ->
                    pool.knowsZone(new ZoneId(format.name(item.key())))
                            ? Importance.ESSENTIAL
                            : Importance.UNUSED;
            case REPLICA -> namesReplica(item) ? Importance.IN_USE : Importance.UNUSED;
            case OTHER -> Importance.UNUSED;
        };
    }

    /** An unexpected error is recorded when the value is applied. */
    private boolean namesReplica(StoredItem item) {
        try {
            return format.replica(item, new Findings()).filter(this::isNamed).isPresent();
        } catch (RuntimeException | StackOverflowError e) {
            return false;
        }
    }
}
