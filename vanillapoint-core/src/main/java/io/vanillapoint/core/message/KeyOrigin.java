package io.vanillapoint.core.message;

/** Where an idempotency key comes from and what is asked about it. Immutable. */
public enum KeyOrigin {
    /** A new key is being issued: remember it as unused. */
    ISSUING,
    /** The system issued the key, so that a VM that does not know it has forgotten it. */
    ISSUED,
    /** The caller chose the key, so that a VM that does not know it may never have seen it. */
    CHOSEN
}
