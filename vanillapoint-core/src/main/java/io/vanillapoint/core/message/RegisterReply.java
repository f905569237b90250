package io.vanillapoint.core.message;

import java.util.Optional;

/**
 * Reply to a {@link RegisterRequest}. Immutable.
 *
 * @param id id of the exchange
 * @param status state of the key on the replying VM
 * @param fingerprintMatches false if the key was used for a different request
 * @param response the stored response, if the request has run
 */
public record RegisterReply(
        long id, KeyStatus status, boolean fingerprintMatches, Optional<StoredResponse> response)
        implements PeerMessage {}
