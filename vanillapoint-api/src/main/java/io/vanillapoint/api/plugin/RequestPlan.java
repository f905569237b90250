package io.vanillapoint.api.plugin;

import io.vanillapoint.api.model.UpstreamKind;

/**
 * What a request asks of an upstream. Immutable: the body must not be changed.
 *
 * @param kind kind of upstream
 * @param target name of the model or service
 * @param uri path and query for the upstream
 * @param body body for the upstream
 * @param openToAll true if callers need no key
 * @param repeatable true if a second run does no harm
 * @param tokens tokens to reserve
 * @param affinityKey requests with the same text profit from the same upstream
 * @param interactive true for short work that someone waits for
 */
public record RequestPlan(
        UpstreamKind kind,
        String target,
        String uri,
        byte[] body,
        boolean openToAll,
        boolean repeatable,
        long tokens,
        String affinityKey,
        boolean interactive) {}
