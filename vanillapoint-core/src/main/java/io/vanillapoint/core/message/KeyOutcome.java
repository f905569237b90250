package io.vanillapoint.core.message;

/** How an attempt with an idempotency key ended. Immutable. */
public enum KeyOutcome {
    /** It ran and its answer is known. */
    ANSWERED,
    /** It may have run. */
    UNKNOWN,
    /** It was not run, so that the key is free again. */
    NOT_RUN
}
