package io.vanillapoint.core.message;

import io.vanillapoint.api.model.CustomerId;

/**
 * Requests tokens from a VM that holds a share of a customer's rate. Immutable.
 *
 * @param id id of the exchange, chosen by the requester
 * @param customer customer whose tokens are requested
 * @param tokens number of tokens
 * @param purpose what the tokens are for
 */
public record ReserveRequest(long id, CustomerId customer, double tokens, ReservePurpose purpose)
        implements PeerMessage {
    @Override
    public boolean expectsReply() {
        return true;
    }
}
