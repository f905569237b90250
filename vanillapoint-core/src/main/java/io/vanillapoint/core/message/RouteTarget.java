package io.vanillapoint.core.message;

import io.vanillapoint.api.model.UpstreamKind;

/**
 * Model or service that a request addresses. Immutable.
 *
 * @param kind whether it is a model or a service
 * @param name name of the model or service
 */
public record RouteTarget(UpstreamKind kind, String name) {
    @Override
    public String toString() {
        return kind + " " + name;
    }
}
