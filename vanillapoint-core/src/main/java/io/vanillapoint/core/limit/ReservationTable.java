package io.vanillapoint.core.limit;

import io.vanillapoint.api.model.CustomerId;
import io.vanillapoint.api.model.VmId;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Reservations whose unused tokens may still be returned.
 *
 * <p>Invariant: a reservation is settled at most once, for at most the reserved tokens. Beyond a
 * fixed number the oldest entries are evicted, which loses their unused tokens but never creates
 * any. Confined to one thread.
 */
final class ReservationTable {
    private static final int MAX_ENTRIES = 100_000;

    private final Map<Key, Reservation> entries = new LinkedHashMap<>();

    /** Adds a reservation; false if its key is already in use. */
    boolean add(VmId requester, long id, CustomerId customer, double tokens) {
        Key key = new Key(requester, id);
        if (entries.putIfAbsent(key, new Reservation(customer, tokens)) != null) {
            return false;
        }
        if (entries.size() > MAX_ENTRIES) {
            entries.remove(entries.keySet().iterator().next());
        }
        return true;
    }

    /** Removes a reservation and returns it. */
    Optional<Reservation> remove(VmId requester, long id) {
        return Optional.ofNullable(entries.remove(new Key(requester, id)));
    }

    boolean contains(VmId requester, long id) {
        return entries.containsKey(new Key(requester, id));
    }

    /** Identifies a reservation. */
    private record Key(VmId requester, long id) {}

    /** Reserved tokens of one customer. */
    record Reservation(CustomerId customer, double tokens) {}
}
