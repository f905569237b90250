package io.vanillapoint.core.message;

import java.util.List;

/**
 * Answer to a {@link ConfigRequest}. Immutable.
 *
 * @param completeTo revision up to which the values are complete
 * @param values newer values
 */
public record ConfigReply(long completeTo, List<PublishedValue> values) implements PeerMessage {
    /** Copies the values. */
    public ConfigReply {
        values = List.copyOf(values);
    }
}
