package io.vanillapoint.core.message;

/**
 * One value of the platform's configuration service. Immutable.
 *
 * @param key name of the value
 * @param revision revision of its last change
 * @param json the value as JSON
 */
public record PublishedValue(String key, long revision, String json) {}
