package io.vanillapoint.entry.traffic;

import io.vanillapoint.core.published.UpstreamReplica;
import io.vanillapoint.core.upstream.ReplicaTracker;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Tells crashes of engines from single broken connections: after a connection broke, it tries to
 * open another one.
 *
 * <p>Invariant: at most one check of an engine is pending, and after a check that found it alive
 * the next one waits for a while. Confined to one event loop.
 */
final class EngineCrashMonitor {
    /** Time within which all connections of an engine that crashes break. */
    private static final long SETTLE_MILLIS = 60;

    /** Time for which an engine that accepted a connection is not checked again. */
    private static final long RECHECK_MILLIS = 500;

    /** Connecting within a region takes about a millisecond. */
    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    /** Attempts that are kept of one crash. */
    private static final int MAX_ATTEMPTS = 256;

    private final Vertx vertx;
    private final LongSupplier clock;
    private final Listener listener;
    private final NetClient client;
    private final Map<String, Pending> pending = new HashMap<>();
    private final Map<String, Long> aliveAtMillis = new HashMap<>();

    EngineCrashMonitor(Vertx vertx, LongSupplier clock, Listener listener) {
        this.vertx = vertx;
        this.clock = clock;
        this.listener = listener;
        client =
                vertx.createNetClient(
                        new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
    }

    /** Records that the connection of an attempt to an engine broke before its response ended. */
    void attemptBroken(ReplicaTracker tracker, BrokenAttempt attempt) {
        String engine = tracker.info().id();
        Pending known = pending.get(engine);
        if (known == null) {
            if (!attempt.stage().suspect() || checkedRecently(engine)) {
                return;
            }
            known = new Pending(tracker, tracker.info());
            vertx.setTimer(SETTLE_MILLIS, ignored -> check(engine));
            pending.put(engine, known);
        }
        if (known.attempts.size() < MAX_ATTEMPTS) {
            known.attempts.add(attempt);
        }
    }

    private boolean checkedRecently(String engine) {
        long now = clock.getAsLong();
        aliveAtMillis.values().removeIf(at -> now - at > RECHECK_MILLIS);
        return aliveAtMillis.containsKey(engine);
    }

    private void check(String engine) {
        UpstreamReplica info = pending.get(engine).info;
        // A composed call also ends if connecting throws.
        Future.succeededFuture()
                .compose(ignored -> client.connect(info.endpoint().port(), info.endpoint().host()))
                .onComplete(
                        connected -> {
                            if (connected.succeeded()) {
                                connected.result().close();
                                accepted(engine);
                            } else {
                                crashed(engine, connected.cause().getMessage());
                            }
                        });
    }

    private void accepted(String engine) {
        Pending found = pending.get(engine);
        boolean restarted = found.tracker.info().startedAtMillis() != found.info.startedAtMillis();
        if (restarted) {
            crashed(engine, "engine has restarted");
        } else {
            pending.remove(engine);
            aliveAtMillis.put(engine, clock.getAsLong());
        }
    }

    private void crashed(String engine, String cause) {
        Pending found = pending.remove(engine);
        listener.crashed(found.info, found.attempts, String.valueOf(cause));
    }

    /** Notified of crashes. */
    interface Listener {
        void crashed(UpstreamReplica engine, List<BrokenAttempt> attempts, String cause);
    }

    /** Attempts whose connections to one engine broke. Confined to one event loop. */
    private static final class Pending {
        private final ReplicaTracker tracker;
        private final UpstreamReplica info;
        private final List<BrokenAttempt> attempts = new ArrayList<>();

        Pending(ReplicaTracker tracker, UpstreamReplica info) {
            this.tracker = tracker;
            this.info = info;
        }
    }
}
