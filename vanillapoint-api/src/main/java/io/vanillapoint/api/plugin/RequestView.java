package io.vanillapoint.api.plugin;

/**
 * The part of a request that a protocol reads. Immutable: the body must not be changed.
 *
 * @param method HTTP method in upper case
 * @param path path without the query
 * @param query query without the question mark, may be empty
 * @param body body, may be empty
 */
public record RequestView(String method, String path, String query, byte[] body) {}
