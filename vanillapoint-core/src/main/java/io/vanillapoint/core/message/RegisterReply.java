package io.vanillapoint.core.message;

import java.util.Optional;

/**
 * Answer to a {@link RegisterRequest}. Immutable.
 *
 * @param id number of the exchange
 * @param status what the VM knows of the key
 * @param fingerprintMatches false if the key was used for another request
 * @param answer the first answer, if the request has run
 */
public record RegisterReply(
        long id, KeyStatus status, boolean fingerprintMatches, Optional<StoredAnswer> answer)
        implements PeerMessage {}
