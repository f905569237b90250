package io.vanillapoint.api.plugin;

import io.vanillapoint.api.model.UpstreamKind;

/**
 * The upstream request for a caller's request. Immutable: the body must not be changed.
 *
 * @param kind kind of upstream
 * @param target name of the model or service
 * @param uri path and query for the upstream
 * @param body body for the upstream
 * @param openToAll true if callers need no key
 * @param idempotent true if the request is idempotent
 * @param tokens tokens to reserve
 * @param affinityKey key that is equal for requests that benefit from the same upstream
 * @param interactive true for a short request that a user is waiting for
 */
public record RequestPlan(
        UpstreamKind kind,
        String target,
        String uri,
        byte[] body,
        boolean openToAll,
        boolean idempotent,
        long tokens,
        String affinityKey,
        boolean interactive) {}
