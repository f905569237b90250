package io.vanillapoint.core.message;

/** Purpose of a token reservation. Immutable. */
public enum ReservePurpose {
    /** A waiting request; all available tokens may be granted. */
    REQUEST,
    /** Another region that is running low; only tokens not needed locally are granted. */
    TRANSFER
}
