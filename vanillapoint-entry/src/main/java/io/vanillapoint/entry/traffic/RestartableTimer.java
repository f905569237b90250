package io.vanillapoint.entry.traffic;

import io.vertx.core.Vertx;

/** A timer of which at most one run is pending. Confined to one event loop. */
final class RestartableTimer {
    private static final long NOT_SET = -1;

    private final Vertx vertx;
    private final Runnable action;
    private long pending = NOT_SET;

    RestartableTimer(Vertx vertx, Runnable action) {
        this.vertx = vertx;
        this.action = action;
    }

    /** Runs the action after a delay instead of any pending run. */
    void start(long delayMillis) {
        cancel();
        pending =
                vertx.setTimer(
                        Math.max(1, delayMillis),
                        ignored -> {
                            pending = NOT_SET;
                            action.run();
                        });
    }

    void cancel() {
        if (pending != NOT_SET) {
            vertx.cancelTimer(pending);
            pending = NOT_SET;
        }
    }
}
