package io.vanillapoint.entry.control;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventSink;
import io.vanillapoint.entry.port.PublishedSource;
import io.vanillapoint.entry.port.StoreException;
import io.vertx.core.Vertx;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Keeps the board up to date from the platform's store: one listing, then one watch after the
 * other.
 *
 * <p>Invariants: at most one call to the store is under way; once the board is filled, calls are
 * made only while it is this VM's turn to read. A store that is down is asked again with a pause
 * that grows to its limit. Confined to one event loop.
 */
final class StoreSync {
    /** Longest wait of one watch: a connection that has gone silent is noticed after it. */
    private static final long WATCH_MILLIS = 3_000;

    /** A watch that was answered in time is followed by the next one within this time. */
    private static final long ANSWERED_MILLIS = WATCH_MILLIS + 1_000;

    /** Time between two looks whether it has become this VM's turn to read. */
    private static final long TURN_MILLIS = 300;

    /** A watch that is answered later than this was held up by a store that was away. */
    private static final long LATE_WATCH_MILLIS = WATCH_MILLIS + 300;

    /** Entries lapse, and are back, within about two seconds of the store's return. */
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

    /** Tells whether the store has answered within the time of a watch. */
    boolean answered() {
        return lostAtMillis < 0 && clock.getAsLong() - answeredAtMillis < ANSWERED_MILLIS;
    }

    /**
     * Tells whether the store was away until a moment ago, so that entries may have lapsed whose
     * replicas live.
     */
    boolean storeWasAway() {
        return lostAtMillis >= 0 || clock.getAsLong() - awayUntilMillis < LAPSES_MILLIS;
    }

    /** The board was filled from another VM: a watch can go on from there. */
    void boardFilled() {
        listed = true;
        if (waiting && clock.getAsLong() - watchSinceMillis > WATCH_MILLIS / 2) {
            source.cancelWatch();
        }
    }

    /** Time since which the store has not answered, or a negative number while it does. */
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

    /** The store answers again, this VM or those that now read it. */
    private void found() {
        if (lostAtMillis >= 0) {
            long lost = clock.getAsLong() - lostAtMillis;
            lostAtMillis = -1;
            awayUntilMillis = clock.getAsLong();
            log.record(EventCode.STORE_REGAINED, board.revision(), lost);
        }
    }
}
