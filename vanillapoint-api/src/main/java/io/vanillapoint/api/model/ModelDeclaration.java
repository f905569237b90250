package io.vanillapoint.api.model;

/**
 * A model that callers may name in a request. Immutable.
 *
 * @param name name as callers write it
 * @param maxOutputTokens largest number of output tokens of one answer; also the cap that is
 *     imposed on a request without one
 */
public record ModelDeclaration(String name, int maxOutputTokens) {
    /** Checks the invariant: a name and a positive cap. */
    public ModelDeclaration {
        Ids.requireName(name, "model");
        if (maxOutputTokens <= 0) {
            throw new IllegalArgumentException("expected a positive output cap");
        }
    }
}
