package io.vanillapoint.core.limit;

import io.vanillapoint.api.model.CustomerId;
import io.vanillapoint.api.model.VmId;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Reservations whose unused part may still come back.
 *
 * <p>Invariant: a reservation gives back once at most, and at most what was reserved. The oldest
 * entries are forgotten beyond a fixed number, which loses tokens and never mints them. Confined to
 * one thread.
 */
final class ReservationTable {
    private static final int MAX_ENTRIES = 100_000;

    private final Map<Key, Reservation> entries = new LinkedHashMap<>();

    /** Remembers a reservation; false if its number is already taken. */
    boolean add(VmId asker, long id, CustomerId customer, double tokens) {
        Key key = new Key(asker, id);
        if (entries.putIfAbsent(key, new Reservation(customer, tokens)) != null) {
            return false;
        }
        if (entries.size() > MAX_ENTRIES) {
            entries.remove(entries.keySet().iterator().next());
        }
        return true;
    }

    /** Removes a reservation and returns it. */
    Optional<Reservation> remove(VmId asker, long id) {
        return Optional.ofNullable(entries.remove(new Key(asker, id)));
    }

    boolean contains(VmId asker, long id) {
        return entries.containsKey(new Key(asker, id));
    }

    /** Name of a reservation. */
    private record Key(VmId asker, long id) {}

    /** What was reserved. */
    record Reservation(CustomerId customer, double tokens) {}
}
