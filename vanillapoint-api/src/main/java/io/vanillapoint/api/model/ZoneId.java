package io.vanillapoint.api.model;

import java.util.Objects;

/**
 * Name of one availability zone, for example {@code erie-west-1}.
 *
 * <p>Invariant: the name is not empty. Immutable and safe for use by several threads.
 *
 * @param value name declared by the operators
 */
public record ZoneId(String value) implements Comparable<ZoneId> {
    /** Checks the invariant. */
    public ZoneId {
        Ids.requireName(value, "availability zone");
    }

    @Override
    public int compareTo(ZoneId other) {
        return value.compareTo(Objects.requireNonNull(other).value);
    }

    /** Explicit because the method generated for a record slows down the start of a VM. */
    @Override
    public boolean equals(Object other) {
        return other instanceof ZoneId id && value.equals(id.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public String toString() {
        return value;
    }
}
