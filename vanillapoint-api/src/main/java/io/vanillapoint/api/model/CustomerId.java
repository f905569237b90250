package io.vanillapoint.api.model;

import java.util.Objects;

/**
 * Name of one customer, for example {@code personnel}.
 *
 * <p>Invariant: the name is not empty. Immutable and safe for use by several threads.
 *
 * @param value name declared by the operators
 */
public record CustomerId(String value) implements Comparable<CustomerId> {
    /** Checks the invariant. */
    public CustomerId {
        Ids.requireName(value, "customer");
    }

    @Override
    public int compareTo(CustomerId other) {
        return value.compareTo(Objects.requireNonNull(other).value);
    }

    @Override
    public String toString() {
        return value;
    }
}
