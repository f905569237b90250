package io.vanillapoint.entry.traffic;

import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.LongSupplier;

/**
 * Defers work, while the event loop is behind, until input that arrived before it has been read.
 *
 * <p>The close of a connection is read one iteration of the event loop after the request on it, so
 * a loop that is seconds behind would forward requests whose callers have already left. One
 * iteration that places many requests lasts longer than callers wait, so a loop that is behind
 * polls for input between any two. Work runs in FIFO order. Confined to one event loop.
 */
public final class EventLoopGate {
    /** A timer, unlike a queued task, runs after the event loop has polled for input. */
    private static final long POLL_DELAY_MILLIS = 1;

    private final Vertx vertx;
    private final LongSupplier clock;
    private final EventLoopLag lag;
    private final Queue<Runnable> deferred = new ArrayDeque<>();
    private boolean timerSet;

    /**
     * Creates a gate.
     *
     * @param vertx Vert.x instance, for timers
     * @param clock monotonic time in milliseconds
     * @param lag tells whether the loop is behind
     */
    public EventLoopGate(Vertx vertx, LongSupplier clock, EventLoopLag lag) {
        this.vertx = vertx;
        this.clock = clock;
        this.lag = lag;
    }

    /**
     * Estimated time that a request read now has waited in the receive buffer; its sender already
     * counts this time against the timeout.
     *
     * @return milliseconds, 0 on a VM that is not behind
     */
    public long receiveDelayMillis() {
        long now = clock.getAsLong();
        return lag.isBehind(now) ? lag.delayMillis(now) : 0;
    }

    /**
     * Runs work now or, while the loop is behind, after the loop has polled for input again.
     *
     * @param work work to run; it has to check itself whether it is still needed
     */
    public void execute(Runnable work) {
        if (deferred.isEmpty() && !behind()) {
            work.run();
            return;
        }
        deferred.add(work);
        scheduleNext();
    }

    private void scheduleNext() {
        if (!timerSet) {
            vertx.setTimer(POLL_DELAY_MILLIS, ignored -> runNext());
            timerSet = true;
        }
    }

    /** Runs the next piece of work, and further ones while the loop is not behind. */
    private void runNext() {
        timerSet = false;
        try {
            Runnable next = deferred.poll();
            while (next != null) {
                next.run();
                next = behind() ? null : deferred.poll();
            }
        } finally {
            if (!deferred.isEmpty()) {
                scheduleNext();
            }
        }
    }

    private boolean behind() {
        return lag.isBehind(clock.getAsLong());
    }
}
