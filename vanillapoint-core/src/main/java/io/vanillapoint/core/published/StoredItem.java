package io.vanillapoint.core.published;

import java.util.Objects;

/**
 * One value of the platform's store at one revision. Immutable; the array must not be changed.
 *
 * @param key key in the store
 * @param revision revision of the last change
 * @param removed true if the change removed the key
 * @param value bytes of the value, empty if removed
 */
public record StoredItem(String key, long revision, boolean removed, byte[] value) {
    /** Rejects a null key or value. */
    public StoredItem {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }
}
