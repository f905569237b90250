package io.vanillapoint.core.message;

/** What a VM knows of an idempotency key. Immutable. */
public enum KeyStatus {
    /** The key was not known and now belongs to the asking attempt. */
    NEW,
    /** Another attempt holds the key and has not ended. */
    RUNNING,
    /** Another attempt ran and its answer is kept. */
    ANSWERED,
    /** Another attempt ended without a known result. */
    UNKNOWN
}
