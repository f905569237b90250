package io.vanillapoint.api.model;

/**
 * A plain service that the system routes to. Immutable.
 *
 * @param name name as it stands in the path of a request
 * @param openToAll true if callers need no key
 * @param idempotent what may be repeated
 * @param tokensPerCall tokens that one call costs
 */
public record ServiceDeclaration(
        String name, boolean openToAll, Repeatability idempotent, int tokensPerCall) {
    /** Checks the invariant: a name and a cost that is not negative. */
    public ServiceDeclaration {
        Ids.requireName(name, "service");
        if (tokensPerCall < 0) {
            throw new IllegalArgumentException("expected a cost of zero or more tokens");
        }
    }
}
