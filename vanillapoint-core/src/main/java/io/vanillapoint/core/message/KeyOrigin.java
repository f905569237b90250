package io.vanillapoint.core.message;

/** Origin of an idempotency key in a registration. Immutable. */
public enum KeyOrigin {
    /** The system is issuing the key; the VM stores it as unused. */
    ISSUING,
    /** The system issued the key earlier; a home that does not know it has lost it. */
    ISSUED,
    /** The caller chose the key; a home that does not know it may never have seen it. */
    CHOSEN
}
