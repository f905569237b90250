package io.vanillapoint.core.message;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.RunState;

/**
 * Reports that a forwarded request failed. Immutable.
 *
 * @param stream id of the exchange on this connection, chosen by the requester
 * @param code the error
 * @param message text for the caller
 * @param runState whether the request ran, as far as known
 * @param retryAfterMillis delay before a retry in milliseconds, 0 if a retry is not useful
 */
public record ForwardFailure(
        long stream, ErrorCode code, String message, RunState runState, long retryAfterMillis)
        implements PeerMessage {}
