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
 * Limits the concurrent requests of one VM and orders the waiting ones.
 *
 * <p>A free slot goes to a request that has waited for at least half of the maximum wait, else to
 * the customer with the fewest running requests, and at equal numbers to interactive requests
 * first, in order of arrival. This avoids starvation of long requests and of customers with few
 * requests.
 *
 * <p>Invariants: running and waiting requests never exceed their limits. Confined to one thread.
 */
public final class AdmissionQueue {
    private final int maxRunning;
    private final int maxWaiting;
    private final long maxWaitMillis;
    private final List<Ticket> waiting = new ArrayList<>();
    private final Map<CustomerId, Integer> runningByCustomer = new HashMap<>();
    private int running;
    private long nextSequence;

    /**
     * Creates an empty queue.
     *
     * @param maxRunning maximum number of running requests
     * @param maxWaiting maximum number of waiting requests
     * @param maxWaitMillis maximum wait in milliseconds
     */
    public AdmissionQueue(int maxRunning, int maxWaiting, long maxWaitMillis) {
        this.maxRunning = maxRunning;
        this.maxWaiting = maxWaiting;
        this.maxWaitMillis = maxWaitMillis;
    }

    /**
     * Number of running requests.
     *
     * @return zero or more
     */
    public int running() {
        return running;
    }

    /**
     * Number of waiting requests.
     *
     * @return zero or more
     */
    public int waiting() {
        return waiting.size();
    }

    /**
     * Starts or enqueues a request.
     *
     * @param nowMillis time
     * @param customer customer, or a placeholder on a route that is open to all
     * @param interactive true for a short request with a waiting user
     * @return a running or waiting ticket, empty if the queue is full
     */
    public Optional<Ticket> enter(long nowMillis, CustomerId customer, boolean interactive) {
        Ticket ticket = new Ticket(nextSequence++, customer, interactive, nowMillis);
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
     * Removes a running or waiting request. The end of a running one starts the next in order.
     *
     * @param nowMillis time
     * @param ended its ticket
     * @return the ticket that was started, if any
     */
    public Optional<Ticket> remove(long nowMillis, Ticket ended) {
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
                        .thenComparing(this::runningForCustomer)
                        .thenComparing(ticket -> !ticket.interactive)
                        .thenComparing(ticket -> ticket.sequence);
        Optional<Ticket> next = waiting.stream().min(order);
        next.ifPresent(
                ticket -> {
                    waiting.remove(ticket);
                    start(ticket);
                });
        return next;
    }

    /**
     * Removes requests that have reached the maximum wait.
     *
     * @param nowMillis time
     * @return their tickets
     */
    public List<Ticket> expire(long nowMillis) {
        List<Ticket> expired = new ArrayList<>();
        Iterator<Ticket> iterator = waiting.iterator();
        while (iterator.hasNext()) {
            Ticket ticket = iterator.next();
            if (nowMillis - ticket.arrivedAtMillis >= maxWaitMillis) {
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
        return nowMillis - ticket.arrivedAtMillis >= maxWaitMillis / 2;
    }

    private int runningForCustomer(Ticket ticket) {
        return runningByCustomer.getOrDefault(ticket.customer, 0);
    }

    /** One request in the queue. Confined to the queue's thread. */
    public static final class Ticket {
        private final long sequence;
        private final CustomerId customer;
        private final boolean interactive;
        private final long arrivedAtMillis;
        private boolean running;

        private Ticket(
                long sequence, CustomerId customer, boolean interactive, long arrivedAtMillis) {
            this.sequence = sequence;
            this.customer = customer;
            this.interactive = interactive;
            this.arrivedAtMillis = arrivedAtMillis;
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
