package io.vanillapoint.api.model;

/**
 * A plain service that the gateway routes requests to. Immutable.
 *
 * @param name name used in the request path
 * @param openToAll true if callers need no key
 * @param idempotent which calls may be retried after they may have run
 * @param tokensPerCall tokens that one call costs
 */
public record ServiceDeclaration(
        String name, boolean openToAll, Repeatability idempotent, int tokensPerCall) {
    /** Checks the invariant: the name is not empty and the cost is not negative. */
    public ServiceDeclaration {
        Ids.requireName(name, "service");
        if (tokensPerCall < 0) {
            throw new IllegalArgumentException("expected a cost of zero or more tokens");
        }
    }
}
