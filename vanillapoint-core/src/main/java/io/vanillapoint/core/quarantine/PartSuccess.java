package io.vanillapoint.core.quarantine;

/**
 * States that an engine has responded to a request with a prompt part. Immutable.
 *
 * @param part hash of the part
 * @param ageMillis time since the latest such response
 */
public record PartSuccess(long part, long ageMillis) {}
