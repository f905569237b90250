package io.vanillapoint.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Sets of prompt parts whose requests are withheld. Holds of all VMs are merged, so that each VM
 * ends up with the same ones in whatever order it hears of them.
 *
 * <p>Invariants: no hold makes another one needless; their number is bounded, and the one that was
 * idle for longest is dropped first. A hold ends after {@link #IDLE_MILLIS} without a request for
 * it. Confined to one thread.
 */
final class HoldTable {
    /** Time without a request for a hold after which the hold ends. */
    static final long IDLE_MILLIS = 300_000;

    /**
     * Times after the start of a hold at which one request is let through to test it; there are no
     * more.
     */
    private static final long[] PROBE_MILLIS = {60_000, 600_000, 7_200_000};

    private static final int MAX_HOLDS = 32;
    private static final int MAX_ENDED = 64;

    private final Map<Set<Long>, Hold> holds = new LinkedHashMap<>();

    /** Ended holds by each of their parts; one more crash starts the hold again. */
    private final Map<Long, Set<Long>> ended =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Set<Long>> eldest) {
                    return size() > MAX_ENDED;
                }
            };

    Collection<Hold> holds() {
        return holds.values();
    }

    /** Parts of an ended hold that had a part, empty if there is none. */
    Optional<Set<Long>> endedHold(long part) {
        return Optional.ofNullable(ended.get(part));
    }

    /** Finds a hold that withholds a request. */
    Optional<Hold> find(Collection<Long> parts, long customer) {
        for (Hold hold : holds.values()) {
            if (hold.covers(customer) && parts.containsAll(hold.parts)) {
                return Optional.of(hold);
            }
        }
        return Optional.empty();
    }

    /** Adds a hold or merges it with the present ones; returns false if nothing changed. */
    boolean merge(PromptHold newHold, long nowMillis) {
        if (newHold.parts().isEmpty() || newHold.idleMillis() >= IDLE_MILLIS) {
            return false;
        }
        Hold same = holds.get(newHold.parts());
        if (same != null) {
            return same.merge(newHold, nowMillis);
        }
        for (Hold hold : holds.values()) {
            if (newHold.parts().containsAll(hold.parts) && hold.covers(newHold.customer())) {
                hold.seen(nowMillis - newHold.idleMillis());
                return false;
            }
        }
        Hold added = new Hold(newHold, nowMillis);
        holds.values()
                .removeIf(
                        hold -> hold.parts.containsAll(added.parts) && added.covers(hold.customer));
        if (holds.size() >= MAX_HOLDS) {
            dropLongestIdle();
        }
        holds.put(added.parts, added);
        return true;
    }

    /**
     * Removes a part that has turned out to be harmless from holds that began before.
     *
     * @return the parts of the holds that changed or ended, as they were
     */
    List<Set<Long>> exonerate(long part, long atMillis) {
        List<Hold> changed = new ArrayList<>();
        for (Hold hold : holds.values()) {
            if (hold.parts.contains(part) && hold.sinceMillis <= atMillis) {
                changed.add(hold);
            }
        }
        List<Set<Long>> before = new ArrayList<>();
        for (Hold hold : changed) {
            before.add(hold.parts);
            holds.remove(hold.parts);
            Set<Long> rest = new HashSet<>(hold.parts);
            rest.remove(part);
            merge(hold.withParts(rest, atMillis), atMillis);
        }
        return before;
    }

    /** Ends holds that were idle for too long and returns their parts. */
    List<Set<Long>> endIdle(long nowMillis) {
        List<Set<Long>> idle = new ArrayList<>();
        Iterator<Hold> all = holds.values().iterator();
        while (all.hasNext()) {
            Hold hold = all.next();
            if (nowMillis - hold.lastSeenMillis >= IDLE_MILLIS) {
                all.remove();
                hold.parts.forEach(part -> ended.put(part, hold.parts));
                idle.add(hold.parts);
            }
        }
        return idle;
    }

    private void dropLongestIdle() {
        holds.values().stream()
                .min(Comparator.comparingLong(hold -> hold.lastSeenMillis))
                .ifPresent(hold -> holds.remove(hold.parts));
    }

    /** One hold. Confined to one thread. */
    static final class Hold {
        private final Set<Long> parts;
        private long customer;
        private long sinceMillis;
        private long lastSeenMillis;
        private int probes;

        private Hold(PromptHold hold, long nowMillis) {
            parts = hold.parts();
            customer = hold.customer();
            sinceMillis = nowMillis - hold.heldMillis();
            lastSeenMillis = nowMillis - hold.idleMillis();
            probes = hold.probes();
        }

        Set<Long> parts() {
            return parts;
        }

        long customer() {
            return customer;
        }

        boolean covers(long otherCustomer) {
            return customer == PromptHold.ALL_CUSTOMERS || customer == otherCustomer;
        }

        void seen(long atMillis) {
            lastSeenMillis = Math.max(lastSeenMillis, atMillis);
        }

        /** Time until a request may be let through, 0 if it is due. */
        long probeDueMillis(long nowMillis) {
            if (probes >= PROBE_MILLIS.length) {
                return IDLE_MILLIS;
            }
            return Math.max(0, sinceMillis + PROBE_MILLIS[probes] - nowMillis);
        }

        void probed() {
            probes++;
        }

        PromptHold report(long nowMillis) {
            return new PromptHold(
                    parts, customer, nowMillis - sinceMillis, nowMillis - lastSeenMillis, probes);
        }

        private PromptHold withParts(Set<Long> newParts, long nowMillis) {
            PromptHold now = report(nowMillis);
            return new PromptHold(newParts, customer, now.heldMillis(), now.idleMillis(), probes);
        }

        private boolean merge(PromptHold other, long nowMillis) {
            boolean wider = !covers(other.customer());
            if (wider) {
                customer = PromptHold.ALL_CUSTOMERS;
            }
            sinceMillis = Math.min(sinceMillis, nowMillis - other.heldMillis());
            probes = Math.max(probes, other.probes());
            seen(nowMillis - other.idleMillis());
            return wider;
        }
    }
}
