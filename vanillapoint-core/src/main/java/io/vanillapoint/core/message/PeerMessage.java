package io.vanillapoint.core.message;

/** A message between VMs. Implementations are immutable. */
public sealed interface PeerMessage
        permits Heartbeat,
                HeartbeatReply,
                ReserveRequest,
                ReserveReply,
                Settle,
                RegisterRequest,
                RegisterReply,
                CompleteKey,
                ConfigRequest,
                ConfigReply,
                ForwardRequest,
                ForwardHead,
                ForwardData,
                ForwardEnd,
                ForwardFailure,
                ForwardCancel,
                ForwardCredit,
                ForwardStalled,
                LoadRequest,
                LoadReply,
                PeerHello {
    /**
     * Tells whether the receiver replies on the same connection.
     *
     * @return false for messages without a reply
     */
    default boolean expectsReply() {
        return false;
    }
}
