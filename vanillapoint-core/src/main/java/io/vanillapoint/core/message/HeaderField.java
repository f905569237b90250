package io.vanillapoint.core.message;

/**
 * One HTTP header. Immutable.
 *
 * @param name name
 * @param value value
 */
public record HeaderField(String name, String value) {}
