package io.vanillapoint.core.message;

import io.vanillapoint.api.model.UpstreamKind;

/**
 * What a request is for. Immutable.
 *
 * @param kind model or service
 * @param name name of the model or service
 */
public record RouteTarget(UpstreamKind kind, String name) {
    @Override
    public String toString() {
        return kind + " " + name;
    }
}
