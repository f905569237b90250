package io.vanillapoint.api.model;

import java.util.Objects;

/**
 * Name of one VM, for example {@code sofia-1}.
 *
 * <p>Invariant: the name is not empty. Immutable and safe for use by several threads.
 *
 * @param value name declared by the operators
 */
public record VmId(String value) implements Comparable<VmId> {
    /** Checks the invariant. */
    public VmId {
        Ids.requireName(value, "VM");
    }

    @Override
    public int compareTo(VmId other) {
        return value.compareTo(Objects.requireNonNull(other).value);
    }

    @Override
    public String toString() {
        return value;
    }
}
