package io.vanillapoint.entry.traffic;

import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.LongSupplier;

/**
 * Holds work back on a VM that is behind until all that had arrived before it was read.
 *
 * <p>The end of a connection is read one turn of the event loop after the request that came on it,
 * so a loop that is seconds behind would send on requests whose callers have long left. A turn that
 * places many requests lasts longer than callers wait, so a loop that is behind looks for bytes
 * between any two. Work runs in the order in which it came. Confined to one event loop.
 */
public final class ReadGate {
    /** A timer, unlike a task, runs after the next look for bytes that have arrived. */
    private static final long NEXT_LOOK_MILLIS = 1;

    private final Vertx vertx;
    private final LongSupplier clock;
    private final LoopLag lag;
    private final Queue<Runnable> waiting = new ArrayDeque<>();
    private boolean looking;

    /**
     * Creates a gate.
     *
     * @param vertx timers
     * @param clock steady time in milliseconds
     * @param lag tells whether the loop is behind
     */
    public ReadGate(Vertx vertx, LongSupplier clock, LoopLag lag) {
        this.vertx = vertx;
        this.clock = clock;
        this.lag = lag;
    }

    /**
     * Time for which a request that is read now has probably waited unread; its sender counts it
     * against the time that it gives.
     *
     * @return milliseconds, 0 on a VM that is not behind
     */
    public long unreadMillis() {
        long now = clock.getAsLong();
        return lag.behind(now) ? lag.delayMillis(now) : 0;
    }

    /**
     * Runs work now, or on a VM that is behind after a look of its own.
     *
     * @param work what to run; it has to see for itself whether it is still wanted
     */
    public void pass(Runnable work) {
        if (waiting.isEmpty() && !behind()) {
            work.run();
            return;
        }
        waiting.add(work);
        lookFirst();
    }

    private void lookFirst() {
        if (!looking) {
            looking = true;
            vertx.setTimer(NEXT_LOOK_MILLIS, nothing -> runNext());
        }
    }

    /** Runs one piece of work, and the others too once the loop keeps up again. */
    private void runNext() {
        looking = false;
        try {
            Runnable next = waiting.poll();
            while (next != null) {
                next.run();
                next = behind() ? null : waiting.poll();
            }
        } finally {
            if (!waiting.isEmpty()) {
                lookFirst();
            }
        }
    }

    private boolean behind() {
        return lag.behind(clock.getAsLong());
    }
}
