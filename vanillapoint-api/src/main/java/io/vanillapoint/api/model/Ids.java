package io.vanillapoint.api.model;

/** Checks shared by the identifier types. Stateless. */
final class Ids {
    private Ids() {}

    /**
     * Rejects a null or empty name.
     *
     * @param value name to check
     * @param kind kind of object that the name identifies, used in the message
     */
    static void requireName(String value, String kind) {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("expected a " + kind + " name, got none");
        }
    }
}
