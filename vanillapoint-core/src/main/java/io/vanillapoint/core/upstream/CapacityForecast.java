package io.vanillapoint.core.upstream;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Predicts when a refused request finds capacity, and reserves that capacity until it returns.
 *
 * <p>Handles demand of several times the capacity for a second or more: refused callers return one
 * after the other as capacity becomes available, instead of together into the same queue. Requests
 * are told apart by kind (service and route). A returning request has a new id, so a reservation is
 * not tied to a caller: any request of the kind that has lost at least the time that was given
 * takes the earliest one that is due.
 *
 * <p>Invariants: a given time never exceeds a third of the time left, since callers wait no longer;
 * each reservation is taken once or lapses; the reservations of a kind are in order of their times.
 * Confined to one thread.
 */
public final class CapacityForecast {
    /** Callers wait for a third of the time that they have left. */
    private static final int LONGEST_WAIT_DIVISOR = 3;

    /**
     * Time by which a caller may be early or late: a round trip between regions (55 ms) there and
     * back with one lost packet (200 ms).
     */
    private static final long TOLERANCE_MILLIS = 300;

    private final Map<String, Deque<Reservation>> kinds = new HashMap<>();

    /**
     * Chooses the time after which the caller of a refused request should return, and reserves
     * capacity for it.
     *
     * @param kind service and route of the request
     * @param estimate when outstanding work leaves capacity
     * @param remainingMillis time that the caller has left
     * @param nowMillis monotonic time
     * @return milliseconds; a third of the time left, without a reservation, if there is no
     *     capacity before
     */
    public long reserve(
            String kind, CapacityEstimate estimate, long remainingMillis, long nowMillis) {
        long longestMillis = Math.max(0, remainingMillis / LONGEST_WAIT_DIVISOR);
        Deque<Reservation> reserved = current(kind, nowMillis);
        double freeAt = nowMillis + estimate.availableMillis();
        if (!reserved.isEmpty()) {
            freeAt = Math.max(freeAt, reserved.getLast().atMillis());
        }
        double at = freeAt + estimate.occupancyMillis();
        long waitMillis = (long) Math.ceil(at - nowMillis);
        if (waitMillis > longestMillis) {
            return longestMillis;
        }
        reserved.addLast(new Reservation(at, waitMillis, estimate.occupancyMillis()));
        return waitMillis;
    }

    /**
     * Takes the earliest reservation that is due, if the request may be one that was told to
     * return.
     *
     * @param kind service and route of the request
     * @param lostMillis time that its caller has less than callers of the route usually have
     * @param nowMillis monotonic time
     * @return true if a reservation was taken; it no longer counts
     */
    public boolean redeem(String kind, long lostMillis, long nowMillis) {
        Iterator<Reservation> reserved = current(kind, nowMillis).iterator();
        while (reserved.hasNext()) {
            Reservation next = reserved.next();
            if (next.atMillis() - TOLERANCE_MILLIS > nowMillis) {
                return false;
            }
            if (lostMillis >= next.waitMillis()) {
                reserved.remove();
                return true;
            }
        }
        return false;
    }

    /**
     * Work that is reserved for requests which are to return within a time.
     *
     * @param kind service and route
     * @param withinMillis time from now
     * @param nowMillis monotonic time
     * @return milliseconds for which it takes up all replicas together
     */
    public double reservedMillis(String kind, long withinMillis, long nowMillis) {
        double sum = 0;
        for (Reservation next : current(kind, nowMillis)) {
            if (next.atMillis() > nowMillis + withinMillis) {
                break;
            }
            sum += next.occupancyMillis();
        }
        return sum;
    }

    /** Reservations of a kind without those whose callers have not returned. */
    private Deque<Reservation> current(String kind, long nowMillis) {
        Deque<Reservation> reserved = kinds.computeIfAbsent(kind, unused -> new ArrayDeque<>());
        while (!reserved.isEmpty()
                && reserved.getFirst().atMillis() + TOLERANCE_MILLIS < nowMillis) {
            reserved.removeFirst();
        }
        return reserved;
    }

    /**
     * Capacity for one request that is to return.
     *
     * @param atMillis monotonic time at which it is to return
     * @param waitMillis time that its caller was told to wait
     * @param occupancyMillis time for which it takes up all replicas together
     */
    private record Reservation(double atMillis, long waitMillis, double occupancyMillis) {}
}
