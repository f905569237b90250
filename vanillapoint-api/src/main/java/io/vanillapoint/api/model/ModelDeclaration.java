package io.vanillapoint.api.model;

/**
 * A model that callers may name in a request. Immutable.
 *
 * @param name name that callers put into requests
 * @param maxOutputTokens largest number of output tokens of one response; also the default for a
 *     request without a limit
 */
public record ModelDeclaration(String name, int maxOutputTokens) {
    /** Checks the invariant: the name is not empty and the limit is positive. */
    public ModelDeclaration {
        Ids.requireName(name, "model");
        if (maxOutputTokens <= 0) {
            throw new IllegalArgumentException("expected a positive output cap");
        }
    }
}
