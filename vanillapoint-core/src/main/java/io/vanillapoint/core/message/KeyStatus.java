package io.vanillapoint.core.message;

/** State of an idempotency key on one VM. Immutable. */
public enum KeyStatus {
    /** No other attempt held the key; it now belongs to the registering attempt. */
    NEW,
    /** Another attempt holds the key and has not ended. */
    RUNNING,
    /** Another attempt ran and its response is stored. */
    ANSWERED,
    /** Another attempt may have run: its outcome is unknown, or this VM may have lost the key. */
    UNKNOWN
}
