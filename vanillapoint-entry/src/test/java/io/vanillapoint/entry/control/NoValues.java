package io.vanillapoint.entry.control;

import io.vanillapoint.api.finding.Findings;
import io.vanillapoint.core.published.GatewayPublication;
import io.vanillapoint.core.published.PublishedFormat;
import io.vanillapoint.core.published.StoredItem;
import io.vanillapoint.core.published.UpstreamReplica;
import java.util.Optional;

/** A format that parses no values. Stateless. */
class NoValues implements PublishedFormat {
    @Override
    public Kind kind(String key) {
        return Kind.OTHER;
    }

    @Override
    public String name(String key) {
        return key;
    }

    @Override
    public Optional<GatewayPublication> configuration(StoredItem item, Findings findings) {
        return Optional.empty();
    }

    @Override
    public Optional<UpstreamReplica> replica(StoredItem item, Findings findings) {
        return Optional.empty();
    }
}
