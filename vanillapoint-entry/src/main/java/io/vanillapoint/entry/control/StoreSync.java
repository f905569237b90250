package io.vanillapoint.entry.control;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventSink;
import io.vanillapoint.entry.port.PublishedSource;
import io.vanillapoint.entry.port.StoreException;
import io.vertx.core.Vertx;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Applies the platform's store to the published state: one listing, then successive watches.
 *
 * <p>Invariants: at most one call to the store is in progress; once the state is populated, calls
 * are made only while this VM is a store reader. Failed calls are retried with a capped exponential
 * backoff. Confined to one event loop.
 */
final class StoreSync {
    /** Longest wait of one watch, which bounds the time to detect a stalled connection. */
    private static final long WATCH_MILLIS = 3_000;

    /** While the store is available, two answers are no further apart than this. */
    private static final long ANSWERED_MILLIS = WATCH_MILLIS + 1_000;

    /** Interval at which a VM that is not a store reader checks whether it has become one. */
    private static final long TURN_MILLIS = 300;

    /** A watch answered later than this was delayed by an unavailable store. */
    private static final long LATE_WATCH_MILLIS = WATCH_MILLIS + 300;

    /**
     * Entries of live replicas expire and are published again within about two seconds of the
     * store's recovery.
     */
    private static final long LAPSES_MILLIS = 2_500;

    private static final long FIRST_PAUSE_MILLIS = 200;
    private static final long LONGEST_PAUSE_MILLIS = 1_000;

    private final Vertx vertx;
    private final PublishedSource source;
    private final PublicationBoard board;
    private final EventSink log;
    private final LongSupplier clock;
    private final BooleanSupplier turn;
    private boolean listed;
    private boolean waiting;
    private boolean reading = true;
    private long lostAtMillis = -1;
    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private long watchSinceMillis;
    private long answeredAtMillis = -ANSWERED_MILLIS;
    private long awayUntilMillis = Long.MIN_VALUE / 2;

    StoreSync(
            Vertx vertx,
            PublishedSource source,
            PublicationBoard board,
            EventSink log,
            LongSupplier clock,
            BooleanSupplier turn) {
        this.vertx = vertx;
        this.source = source;
        this.board = board;
        this.log = log;
        this.clock = clock;
        this.turn = turn;
    }

    void start() {
        if (!listed) {
            list();
        } else if (turn.getAsBoolean()) {
            reads(true);
            watch();
        } else {
            reads(false);
            found();
            vertx.setTimer(TURN_MILLIS, nothing -> start());
        }
    }

    private void reads(boolean now) {
        if (now != reading) {
            reading = now;
            log.record(EventCode.STORE_READER, reading, board.revision());
        }
    }

    /** Tells whether the store has answered recently enough to count as available. */
    boolean answered() {
        return lostAtMillis < 0 && clock.getAsLong() - answeredAtMillis < ANSWERED_MILLIS;
    }

    /**
     * Tells whether the store is or was unavailable until recently, so that entries of live
     * replicas may have expired.
     */
    boolean storeWasAway() {
        return lostAtMillis >= 0 || clock.getAsLong() - awayUntilMillis < LAPSES_MILLIS;
    }

    /**
     * Continues from values copied from another VM. A watch that has waited for more than half its
     * time is cancelled, so that the next one starts at the new revision.
     */
    void boardFilled() {
        listed = true;
        if (waiting && clock.getAsLong() - watchSinceMillis > WATCH_MILLIS / 2) {
            source.cancelWatch();
        }
    }

    /** Time since the store became unavailable in milliseconds, negative while it is available. */
    long lostMillis() {
        return lostAtMillis < 0 ? -1 : clock.getAsLong() - lostAtMillis;
    }

    private void list() {
        source.list()
                .onComplete(
                        listing -> {
                            if (listing.failed()) {
                                lost(listing.cause());
                                return;
                            }
                            listed = true;
                            board.replace(listing.result(), storeWasAway());
                            regained();
                            start();
                        });
    }

    private void watch() {
        waiting = true;
        watchSinceMillis = clock.getAsLong();
        source.watch(board.revision(), WATCH_MILLIS)
                .onComplete(
                        changes -> {
                            waiting = false;
                            if (changes.failed()) {
                                lost(changes.cause());
                                return;
                            }
                            if (clock.getAsLong() - watchSinceMillis > LATE_WATCH_MILLIS) {
                                awayUntilMillis = clock.getAsLong();
                            }
                            board.merge(changes.result(), "watch", storeWasAway());
                            regained();
                            start();
                        });
    }

    private void lost(Throwable cause) {
        if (cause instanceof StoreException failure
                && failure.kind() == StoreException.Kind.HISTORY_GONE) {
            listed = false;
        }
        if (lostAtMillis < 0) {
            lostAtMillis = clock.getAsLong();
            log.record(EventCode.STORE_LOST, cause.getMessage(), board.revision());
        }
        vertx.setTimer(pauseMillis, nothing -> start());
        pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, pauseMillis * 2);
    }

    private void regained() {
        answeredAtMillis = clock.getAsLong();
        pauseMillis = FIRST_PAUSE_MILLIS;
        found();
    }

    /** The store is available again, either to this VM or to the VMs that now read it. */
    private void found() {
        if (lostAtMillis >= 0) {
            long lost = clock.getAsLong() - lostAtMillis;
            lostAtMillis = -1;
            awayUntilMillis = clock.getAsLong();
            log.record(EventCode.STORE_REGAINED, board.revision(), lost);
        }
    }
}
