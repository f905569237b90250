package io.vanillapoint.entry.traffic;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventSink;
import io.vanillapoint.core.memory.BodyMemoryBudget;
import io.vanillapoint.entry.log.EntryMetrics;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Memory for the bodies of all requests of a VM, with log and metrics of what does not fit.
 * Confined to one event loop.
 */
public final class RequestBodies {
    /** Reason of a refusal for callers and logs. */
    public static final String REASON = "memory_full";

    /** Requests with large bodies take about a second; memory is released as they end. */
    private static final long RETRY_AFTER_MILLIS = 500;

    /** Spreads callers that were refused together. */
    private static final long RETRY_JITTER_MILLIS = 500;

    private final BodyMemoryBudget budget;
    private final EventSink log;
    private final EntryMetrics metrics;

    /**
     * Creates the memory for bodies.
     *
     * @param budget limit on all bodies together
     * @param log records refusals
     * @param metrics counts refusals
     */
    public RequestBodies(BodyMemoryBudget budget, EventSink log, EntryMetrics metrics) {
        this.budget = budget;
        this.log = log;
        this.metrics = metrics;
    }

    /**
     * Opens a reservation of 0 bytes.
     *
     * @param owner who the bytes are charged to
     * @return the reservation, to be released when the request has ended
     */
    public BodyMemoryBudget.Reservation open(String owner) {
        return budget.open(owner);
    }

    /**
     * Logs and counts a body that did not fit.
     *
     * @param requestId id of the request, empty if it is not known
     * @param owner who it would be charged to
     * @param bytes its declared length, 0 if it is chunked
     */
    public void recordRefusal(String requestId, String owner, long bytes) {
        log.record(
                EventCode.BODY_REFUSED,
                requestId,
                owner,
                bytes,
                budget.heldBytes(),
                budget.limitBytes());
        metrics.count("bodies_refused");
        metrics.count("refused." + REASON);
    }

    /**
     * Refusal of a request whose body does not fit.
     *
     * @return a refusal with a time to return
     */
    public Refusal refusal() {
        long jitter = ThreadLocalRandom.current().nextLong(RETRY_JITTER_MILLIS);
        return Refusal.notRun(REASON, RETRY_AFTER_MILLIS + jitter);
    }
}
