package io.vanillapoint.core.message;

/** What reserved tokens are for. Immutable. */
public enum ReservePurpose {
    /** A request that waits for them; as many as there are. */
    REQUEST,
    /** Another region that runs low; only what is not needed here. */
    TRANSFER
}
