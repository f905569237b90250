package io.vanillapoint.core.message;

/**
 * Asks a VM of another region how loaded the upstreams of its region are. Immutable.
 *
 * @param target model or service
 */
public record LoadRequest(RouteTarget target) implements PeerMessage {
    @Override
    public boolean expectsAnswer() {
        return true;
    }
}
