package io.vanillapoint.core.message;

import io.vanillapoint.api.model.VmId;

/**
 * First message on a connection, in both directions. Immutable.
 *
 * @param vm name of the sender
 * @param incarnation process start of the sender
 * @param protocol version of the protocol that the sender speaks
 */
public record PeerHello(VmId vm, long incarnation, int protocol) implements PeerMessage {
    /** Version that this code speaks. */
    public static final int PROTOCOL = 1;
}
