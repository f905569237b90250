package io.vanillapoint.core.message;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.RunState;

/**
 * The request failed. Immutable.
 *
 * @param stream number of the exchange on this connection, chosen by the asker
 * @param code the error
 * @param message text for the caller
 * @param runState what is known about the run
 * @param retryAfterMillis when to come back in milliseconds, 0 if that would not help
 */
public record ForwardFailure(
        long stream, ErrorCode code, String message, RunState runState, long retryAfterMillis)
        implements PeerMessage {}
