package io.vanillapoint.core.message;

import java.util.List;

/**
 * Reply to a {@link ConfigRequest}. Immutable.
 *
 * @param completeThroughRevision revision up to which the values are complete
 * @param values values newer than the requested revision
 */
public record ConfigReply(long completeThroughRevision, List<PublishedValue> values)
        implements PeerMessage {
    /** Copies the values. */
    public ConfigReply {
        values = List.copyOf(values);
    }
}
