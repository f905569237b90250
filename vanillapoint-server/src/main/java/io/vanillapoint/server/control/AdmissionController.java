package io.vanillapoint.server.control;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.model.Customer;
import io.vanillapoint.api.model.CustomerId;
import io.vanillapoint.core.admission.AdmissionQueue;
import io.vanillapoint.core.admission.AdmissionQueue.Ticket;
import io.vanillapoint.core.limit.TokenAcquisition.VmReservation;
import io.vanillapoint.server.MonotonicTime;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Admits requests: waits for a free slot among the running requests, then reserves the tokens.
 * Confined to the control thread.
 */
final class AdmissionController {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final CustomerId OPEN_ROUTE_CUSTOMER = new CustomerId("(open)");

    private final AdmissionQueue queue;
    private final TokenReserver reserver;
    private final Map<Ticket, Promise<Void>> slotPromises = new HashMap<>();

    AdmissionController(AdmissionQueue queue, TokenReserver reserver) {
        this.queue = queue;
        this.reserver = reserver;
    }

    int running() {
        return queue.running();
    }

    int waiting() {
        return queue.waiting();
    }

    /** Admits a request. The customer is null on a route that is open to all callers. */
    Future<Admission> admit(Customer customer, long tokens, boolean interactive) {
        CustomerId customerId = customer == null ? OPEN_ROUTE_CUSTOMER : customer.id();
        Optional<Ticket> queued = queue.enter(MonotonicTime.millis(), customerId, interactive);
        if (queued.isEmpty()) {
            return refuse(ErrorCode.OVERLOADED, "too many requests wait");
        }
        Ticket ticket = queued.get();
        return awaitSlot(ticket)
                .compose(ignored -> reserve(customer, tokens))
                .map(reservations -> new Admission(ticket, reservations))
                .onFailure(error -> release(ticket));
    }

    /** Settles the tokens of an admission and frees its slot. */
    void finish(Admission admission, double used) {
        reserver.settle(admission.reservations(), used);
        release(admission.ticket());
    }

    /** Refuses requests that exceeded the queue timeout. */
    void expireWaiting() {
        for (Ticket ticket : queue.expire(MonotonicTime.millis())) {
            slotPromises
                    .remove(ticket)
                    .tryFail(
                            VanillapointException.refusal(
                                    ErrorCode.QUEUE_TIMEOUT,
                                    "no place became free in time",
                                    RETRY_AFTER));
        }
    }

    private Future<Void> awaitSlot(Ticket ticket) {
        if (ticket.isRunning()) {
            return Future.succeededFuture();
        }
        Promise<Void> promise = Promise.promise();
        slotPromises.put(ticket, promise);
        return promise.future();
    }

    private Future<List<VmReservation>> reserve(Customer customer, long tokens) {
        if (customer == null) {
            return Future.succeededFuture(List.of());
        }
        return reserver.reserve(customer, tokens);
    }

    private void release(Ticket ticket) {
        slotPromises.remove(ticket);
        Optional<Ticket> next = queue.remove(MonotonicTime.millis(), ticket);
        next.ifPresent(started -> slotPromises.remove(started).tryComplete());
    }

    private static <T> Future<T> refuse(ErrorCode code, String message) {
        return Future.failedFuture(VanillapointException.refusal(code, message, RETRY_AFTER));
    }
}
