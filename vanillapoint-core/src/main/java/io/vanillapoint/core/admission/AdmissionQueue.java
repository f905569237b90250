package io.vanillapoint.core.admission;

import io.vanillapoint.api.model.CustomerId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Limits the requests that one VM runs at the same time and orders those that wait.
 *
 * <p>A free place goes to a request that has waited for half of the longest wait, else to the
 * customer that runs the fewest requests, and for the same customer to interactive work first. So
 * long work and customers with few requests are not starved.
 *
 * <p>Invariants: never more than the limit run or wait. Confined to one thread.
 */
public final class AdmissionQueue {
    private final int maxRunning;
    private final int maxWaiting;
    private final long maxWaitMillis;
    private final List<Ticket> waiting = new ArrayList<>();
    private final Map<CustomerId, Integer> runningByCustomer = new HashMap<>();
    private int running;
    private long arrivals;

    /**
     * Creates an empty queue.
     *
     * @param maxRunning requests that run at the same time
     * @param maxWaiting requests that wait
     * @param maxWaitMillis longest wait in milliseconds
     */
    public AdmissionQueue(int maxRunning, int maxWaiting, long maxWaitMillis) {
        this.maxRunning = maxRunning;
        this.maxWaiting = maxWaiting;
        this.maxWaitMillis = maxWaitMillis;
    }

    /**
     * Requests that run.
     *
     * @return zero or more
     */
    public int running() {
        return running;
    }

    /**
     * Requests that wait.
     *
     * @return zero or more
     */
    public int waiting() {
        return waiting.size();
    }

    /**
     * Lets a request in.
     *
     * @param nowMillis time
     * @param customer customer, or a stand-in name on a route that is open to all
     * @param interactive true for short work that someone waits for
     * @return a ticket that runs or waits, or nothing if the queue is full
     */
    public Optional<Ticket> enter(long nowMillis, CustomerId customer, boolean interactive) {
        Ticket ticket = new Ticket(arrivals++, customer, interactive, nowMillis);
        if (running < maxRunning) {
            start(ticket);
            return Optional.of(ticket);
        }
        if (waiting.size() >= maxWaiting) {
            return Optional.empty();
        }
        waiting.add(ticket);
        return Optional.of(ticket);
    }

    /**
     * Takes note that a running request ended.
     *
     * @param nowMillis time
     * @param ended its ticket
     * @return the ticket that runs in its place, if any waits
     */
    public Optional<Ticket> leave(long nowMillis, Ticket ended) {
        if (!ended.running) {
            waiting.remove(ended);
            return Optional.empty();
        }
        ended.running = false;
        running--;
        runningByCustomer.merge(ended.customer, -1, Integer::sum);
        runningByCustomer.remove(ended.customer, 0);
        Comparator<Ticket> order =
                Comparator.comparing((Ticket ticket) -> !hasWaitedLong(nowMillis, ticket))
                        .thenComparing(this::runningOf)
                        .thenComparing(ticket -> !ticket.interactive)
                        .thenComparing(ticket -> ticket.number);
        Optional<Ticket> next = waiting.stream().min(order);
        next.ifPresent(
                ticket -> {
                    waiting.remove(ticket);
                    start(ticket);
                });
        return next;
    }

    /**
     * Removes requests that have waited too long.
     *
     * @param nowMillis time
     * @return their tickets
     */
    public List<Ticket> expire(long nowMillis) {
        List<Ticket> expired = new ArrayList<>();
        Iterator<Ticket> iterator = waiting.iterator();
        while (iterator.hasNext()) {
            Ticket ticket = iterator.next();
            if (nowMillis - ticket.arrivedMillis >= maxWaitMillis) {
                expired.add(ticket);
                iterator.remove();
            }
        }
        return expired;
    }

    private void start(Ticket ticket) {
        ticket.running = true;
        running++;
        runningByCustomer.merge(ticket.customer, 1, Integer::sum);
    }

    private boolean hasWaitedLong(long nowMillis, Ticket ticket) {
        return nowMillis - ticket.arrivedMillis >= maxWaitMillis / 2;
    }

    private int runningOf(Ticket ticket) {
        return runningByCustomer.getOrDefault(ticket.customer, 0);
    }

    /** One request in the queue. Confined to the queue's thread. */
    public static final class Ticket {
        private final long number;
        private final CustomerId customer;
        private final boolean interactive;
        private final long arrivedMillis;
        private boolean running;

        private Ticket(long number, CustomerId customer, boolean interactive, long arrivedMillis) {
            this.number = number;
            this.customer = customer;
            this.interactive = interactive;
            this.arrivedMillis = arrivedMillis;
        }

        /**
         * Tells whether the request may run.
         *
         * @return false while it waits and after it has ended
         */
        public boolean isRunning() {
            return running;
        }
    }
}
