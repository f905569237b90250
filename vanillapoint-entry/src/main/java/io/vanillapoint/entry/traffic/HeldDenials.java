package io.vanillapoint.entry.traffic;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.core.fleet.StoreVms;
import io.vanillapoint.core.published.StorePosition;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Requests that the configuration in force does not permit, held until this VM has had the time to
 * learn a newer one.
 *
 * <p>Handles a route or key that another VM already knows: the callers that use it reach all VMs at
 * once, and a denial is final for them. Each request is judged again by each newer configuration,
 * and denied once a round of heartbeats has told of none. Invariants: each held request is admitted
 * or ended exactly once, unless its caller disconnects; at most {@link #MAX_HELD} are held.
 * Confined to one event loop.
 */
final class HeldDenials {
    /** Bounds the memory for bodies; further requests are denied at once. */
    static final int MAX_HELD = 100;

    /** Time for a heartbeat from any region to arrive, and for a copy from its sender. */
    private static final long WAIT_MILLIS = 600;

    /** Longest time, while another VM is known to be ahead. */
    private static final long MAX_WAIT_MILLIS = 1_500;

    /** Part of the caller's remaining time that may be spent here. */
    private static final long MAX_PART_OF_REMAINING = 3;

    private static final long EXTENSION_MILLIS = 100;

    private final EntryContext context;
    private final Supplier<StorePosition> position;
    private final Set<Held> held = new LinkedHashSet<>();

    /**
     * Creates an empty set.
     *
     * @param context shared services
     * @param position supplies the position of the store that this VM has reached
     */
    HeldDenials(EntryContext context, Supplier<StorePosition> position) {
        this.context = context;
        this.position = position;
    }

    /**
     * Holds a request unless its denial is certain already.
     *
     * @param id id of the request, for the log
     * @param denial how it would be denied
     * @param remainingMillis time that the caller will wait
     * @param sink response of the request
     * @param judge admits the request if it is permitted now, else returns its denial
     * @param deny denies the request
     * @return false if it has to be denied now
     */
    boolean hold(
            String id,
            Refusal denial,
            long remainingMillis,
            CallerSink sink,
            Supplier<Optional<Refusal>> judge,
            Consumer<Refusal> deny) {
        if (context.fleet().members().isEmpty() || held.size() >= MAX_HELD) {
            return false;
        }
        Held request = new Held(id, sink, judge, deny, remainingMillis / MAX_PART_OF_REMAINING);
        held.add(request);
        sink.onClose(() -> remove(request));
        context.log().record(EventCode.DENIAL_HELD, id, denial.status(), denial.reason());
        context.metrics().count("denials_held");
        request.timer.start(Math.min(WAIT_MILLIS, request.maxWaitMillis));
        return true;
    }

    /** Tells whether any request is held. */
    boolean any() {
        return !held.isEmpty();
    }

    /** Judges all held requests by a newer configuration. */
    void configurationChanged() {
        List.copyOf(held).forEach(request -> guarded(request, () -> judge(request, false)));
    }

    /** Refuses all held requests, because the process is about to stop. */
    void refuseAll() {
        for (Held request : List.copyOf(held)) {
            remove(request);
            request.sink.refuse(Refusal.notRun("shutting_down", EXTENSION_MILLIS));
        }
    }

    private void waited(Held request) {
        long now = context.clock().getAsLong();
        boolean behind = new StoreVms(context.fleet()).anyAhead(position.get(), now);
        boolean mayWait = now - request.heldAtMillis + EXTENSION_MILLIS <= request.maxWaitMillis;
        if (behind && mayWait) {
            request.timer.start(EXTENSION_MILLIS);
        } else {
            judge(request, true);
        }
    }

    private void judge(Held request, boolean last) {
        if (!held.contains(request)) {
            return;
        }
        Optional<Refusal> denial = request.judge.get();
        if (denial.isEmpty()) {
            remove(request);
        } else if (last) {
            remove(request);
            request.deny.accept(denial.get());
        }
    }

    /** An unexpected error ends the request; no attempt has been made by then. */
    private void guarded(Held request, Runnable step) {
        try {
            step.run();
        } catch (Throwable e) {
            remove(request);
            context.errors().record("judging " + request.id + " again", e);
            request.sink.refuse(Refusal.notRun("internal_error", 0));
        }
    }

    private void remove(Held request) {
        held.remove(request);
        request.timer.cancel();
    }

    /** A held request. */
    private final class Held {
        private final String id;
        private final CallerSink sink;
        private final Supplier<Optional<Refusal>> judge;
        private final Consumer<Refusal> deny;
        private final long maxWaitMillis;
        private final long heldAtMillis = context.clock().getAsLong();
        private final RestartableTimer timer;

        Held(
                String id,
                CallerSink sink,
                Supplier<Optional<Refusal>> judge,
                Consumer<Refusal> deny,
                long maxWaitMillis) {
            this.id = id;
            this.sink = sink;
            this.judge = judge;
            this.deny = deny;
            this.maxWaitMillis = Math.min(MAX_WAIT_MILLIS, maxWaitMillis);
            timer = new RestartableTimer(context.vertx(), () -> guarded(this, () -> waited(this)));
        }
    }
}
