package io.vanillapoint.core.message;

import io.vanillapoint.api.model.CustomerId;

/**
 * Asks a VM that holds a part of a customer's rate for tokens. Immutable.
 *
 * @param id number of the exchange, chosen by the asker
 * @param customer whose tokens
 * @param tokens how many
 * @param purpose what the tokens are for
 */
public record ReserveRequest(long id, CustomerId customer, double tokens, ReservePurpose purpose)
        implements PeerMessage {
    @Override
    public boolean expectsAnswer() {
        return true;
    }
}
