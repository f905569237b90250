package io.vanillapoint.core.message;

/** What a VM knows of an idempotency key. Immutable. */
public enum KeyStatus {
    /** No attempt held the key, which now belongs to the asking attempt. */
    NEW,
    /** Another attempt holds the key and has not ended. */
    RUNNING,
    /** Another attempt ran and its answer is kept. */
    ANSWERED,
    /** Another attempt may have run: it ended so, or this VM may have forgotten it. */
    UNKNOWN
}
