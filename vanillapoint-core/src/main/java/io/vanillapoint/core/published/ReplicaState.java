package io.vanillapoint.core.published;

/** State that a replica publishes. Immutable. */
public enum ReplicaState {
    /** Accepts new requests. */
    READY,
    /** Completes its outstanding requests and is about to leave. */
    DRAINING
}
