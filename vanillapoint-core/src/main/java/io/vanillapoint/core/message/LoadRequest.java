package io.vanillapoint.core.message;

/**
 * Requests the load of a region's upstreams from a VM of that region. Immutable.
 *
 * @param target model or service
 */
public record LoadRequest(RouteTarget target) implements PeerMessage {
    @Override
    public boolean expectsReply() {
        return true;
    }
}
