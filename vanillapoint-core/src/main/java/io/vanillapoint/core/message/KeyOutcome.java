package io.vanillapoint.core.message;

/** How an attempt with an idempotency key ended. Immutable. */
public enum KeyOutcome {
    /** It ran and its response is known. */
    ANSWERED,
    /** It may have run. */
    UNKNOWN,
    /** It did not run; the key is released. */
    NOT_RUN
}
