package io.vanillapoint.api.model;

import java.util.Objects;

/**
 * Name of one availability zone, for example {@code erie-west-1}.
 *
 * <p>Invariant: the name is not empty. Immutable and safe for use by several threads.
 *
 * @param value name as declared by the operators
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

    @Override
    public String toString() {
        return value;
    }
}
