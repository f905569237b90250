package io.vanillapoint.api.model;

import java.util.Objects;

/**
 * Name of a region, for example {@code sofia}.
 *
 * <p>Invariant: the name is not empty. Immutable and safe for use by several threads.
 *
 * @param value name declared by the operators
 */
public record RegionId(String value) implements Comparable<RegionId> {
    /** Checks the invariant. */
    public RegionId {
        Ids.requireName(value, "region");
    }

    @Override
    public int compareTo(RegionId other) {
        return value.compareTo(Objects.requireNonNull(other).value);
    }

    /** Explicit because the method generated for a record slows down the start of a VM. */
    @Override
    public boolean equals(Object other) {
        return other instanceof RegionId id && value.equals(id.value);
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
