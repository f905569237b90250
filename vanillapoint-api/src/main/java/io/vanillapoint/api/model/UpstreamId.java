package io.vanillapoint.api.model;

import java.util.Objects;

/**
 * Name of one upstream, for example {@code sofia-engine-1}.
 *
 * <p>Invariant: the name is not empty. Immutable and safe for use by several threads.
 *
 * @param value name declared by the operators
 */
public record UpstreamId(String value) implements Comparable<UpstreamId> {
    /** Checks the invariant. */
    public UpstreamId {
        Ids.requireName(value, "upstream");
    }

    @Override
    public int compareTo(UpstreamId other) {
        return value.compareTo(Objects.requireNonNull(other).value);
    }

    @Override
    public String toString() {
        return value;
    }
}
