package io.vanillapoint.core.message;

import io.vanillapoint.api.model.CustomerId;

/**
 * Asks a VM that holds a part of a customer's rate for tokens. Immutable.
 *
 * @param id number of the exchange, chosen by the asker
 * @param customer whose tokens
 * @param tokens how many
 * @param partial true if fewer tokens than asked for are welcome
 */
public record ReserveRequest(long id, CustomerId customer, double tokens, boolean partial)
        implements PeerMessage {
    @Override
    public boolean expectsAnswer() {
        return true;
    }
}
