package io.vanillapoint.http;

/**
 * Limits of each connection on which requests arrive. Immutable.
 *
 * @param fieldBytes largest sum of the field lines of a head, in bytes
 * @param headMillis longest time from the first byte of a head to its last one
 * @param idleMillis longest time without a request or without progress of a response
 */
public record InboundLimits(int fieldBytes, long headMillis, long idleMillis) {}
