package io.vanillapoint.core.published;

/** What a replica says of itself. Immutable. */
public enum ReplicaState {
    /** Takes new requests. */
    READY,
    /** Finishes what it has and is about to leave. */
    DRAINING
}
