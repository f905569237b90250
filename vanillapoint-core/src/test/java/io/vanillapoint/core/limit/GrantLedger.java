package io.vanillapoint.core.limit;

import io.vanillapoint.api.model.CustomerId;
import io.vanillapoint.api.model.TokenGrant;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the tokens that a fleet grants. For each customer it keeps the largest excess over all
 * windows that end now: tokens granted, minus tokens returned, minus rate x window.
 */
final class GrantLedger {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<CustomerId, Excess> excesses = new HashMap<>();

    /** Adds granted tokens, or returned ones as a negative number, and returns the excess. */
    double add(CustomerId customer, TokenGrant grant, long nowMillis, double tokens) {
        Excess excess = excesses.computeIfAbsent(customer, id -> new Excess());
        double elapsed = (nowMillis - excess.atMillis) / MILLIS_PER_SECOND;
        excess.value = Math.max(0, excess.value - elapsed * grant.ratePerSecond());
        excess.value = Math.max(0, excess.value + tokens);
        excess.atMillis = nowMillis;
        return excess.value;
    }

    /** Largest excess of one customer and when it was updated. */
    private static final class Excess {
        private long atMillis;
        private double value;
    }
}
