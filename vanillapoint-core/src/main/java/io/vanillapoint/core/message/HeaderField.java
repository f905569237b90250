package io.vanillapoint.core.message;

import java.util.Objects;

/**
 * One HTTP header. Immutable.
 *
 * @param name name
 * @param value value
 */
public record HeaderField(String name, String value) {
    /** Rejects null components. */
    public HeaderField {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(value, "value");
    }
}
