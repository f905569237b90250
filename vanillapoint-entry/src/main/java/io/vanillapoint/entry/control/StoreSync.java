package io.vanillapoint.entry.control;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventSink;
import io.vanillapoint.core.published.StoreChanges;
import io.vanillapoint.core.published.StorePosition;
import io.vanillapoint.entry.port.PublishedSource;
import io.vanillapoint.entry.port.StoreException;
import io.vertx.core.AsyncResult;
import io.vertx.core.Vertx;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
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

    /** While the store is available, two responses are no further apart than this. */
    private static final long ANSWERED_MILLIS = WATCH_MILLIS + 1_000;

    /** Interval at which a VM that is not a store reader checks whether it has become one. */
    private static final long READER_CHECK_MILLIS = 300;

    /** A watch answered later than this was delayed by an unavailable store. */
    private static final long LATE_WATCH_MILLIS = WATCH_MILLIS + 300;

    /**
     * Entries of live replicas expire and are published again within about two seconds of the
     * store's recovery.
     */
    private static final long ENTRY_RECOVERY_MILLIS = 2_500;

    private static final long INITIAL_BACKOFF_MILLIS = 200;
    private static final long MAX_BACKOFF_MILLIS = 1_000;

    private final Vertx vertx;
    private final PublishedSource source;
    private final PublishedState publishedState;
    private final EventSink log;
    private final LongSupplier clock;
    private final BooleanSupplier selectedAsReader;
    private boolean populated;
    private boolean watching;
    private boolean reading = true;
    private long unavailableSinceMillis = -1;
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;

    /** Pause before the next listing if the store lacks the history after each one. */
    private long relistMillis = INITIAL_BACKOFF_MILLIS;

    private boolean eraUnusable;
    private long watchStartedAtMillis;
    private long lastAnswerAtMillis = -ANSWERED_MILLIS;
    private long recoveredAtMillis = Long.MIN_VALUE / 2;

    StoreSync(
            Vertx vertx,
            PublishedSource source,
            PublishedState publishedState,
            EventSink log,
            LongSupplier clock,
            BooleanSupplier selectedAsReader) {
        this.vertx = vertx;
        this.source = source;
        this.publishedState = publishedState;
        this.log = log;
        this.clock = clock;
        this.selectedAsReader = selectedAsReader;
    }

    void start() {
        if (!populated) {
            list();
        } else if (selectedAsReader.getAsBoolean()) {
            setReading(true);
            watch();
        } else {
            setReading(false);
            markAvailable();
            vertx.setTimer(READER_CHECK_MILLIS, ignored -> start());
        }
    }

    private void setReading(boolean newReading) {
        if (newReading != reading) {
            reading = newReading;
            log.record(EventCode.STORE_READER, reading, publishedState.position().revision());
        }
    }

    /** Tells whether the store has answered recently enough to count as available. */
    boolean answeredRecently() {
        return unavailableSinceMillis < 0
                && clock.getAsLong() - lastAnswerAtMillis < ANSWERED_MILLIS;
    }

    /**
     * Tells whether the store is or was unavailable until recently, so that entries of live
     * replicas may have expired.
     */
    boolean storeWasUnavailable() {
        return unavailableSinceMillis >= 0
                || clock.getAsLong() - recoveredAtMillis < ENTRY_RECOVERY_MILLIS;
    }

    /**
     * Continues from values copied from another VM. A watch that has waited for more than half its
     * time is cancelled, so that the next one starts at the new revision.
     */
    void stateCopied() {
        populated = true;
        if (watching && clock.getAsLong() - watchStartedAtMillis > WATCH_MILLIS / 2) {
            source.cancelWatch();
        }
    }

    /** Time since the store became unavailable in milliseconds, negative while it is available. */
    long unavailableMillis() {
        return unavailableSinceMillis < 0 ? -1 : clock.getAsLong() - unavailableSinceMillis;
    }

    private void list() {
        source.list().onComplete(answer -> handle(answer, this::merge));
    }

    private void watch() {
        watching = true;
        watchStartedAtMillis = clock.getAsLong();
        source.watch(publishedState.position().revision(), WATCH_MILLIS)
                .onComplete(
                        answer -> {
                            watching = false;
                            handle(answer, this::mergeWatched);
                        });
    }

    /** An unexpected error counts as a failure of the store, so that reading goes on. */
    private void handle(AsyncResult<StoreChanges> answer, Consumer<StoreChanges> merge) {
        if (answer.failed()) {
            storeFailed(answer.cause());
            return;
        }
        try {
            merge.accept(answer.result());
        } catch (RuntimeException e) {
            log.record(EventCode.INTERNAL_ERROR, "merging the store's answer", e);
            storeFailed(e);
        }
    }

    private void merge(StoreChanges answer) {
        StoreChanges listing = withUsableEra(answer);
        if (isOutdated(listing)) {
            return;
        }
        publishedState.merge(listing, "listing", storeWasUnavailable());
        populated = true;
        storeAnswered();
        start();
    }

    private void mergeWatched(StoreChanges answer) {
        if (clock.getAsLong() - watchStartedAtMillis > LATE_WATCH_MILLIS) {
            recoveredAtMillis = clock.getAsLong();
        }
        StoreChanges changes = withUsableEra(answer);
        if (isOutdated(changes)) {
            return;
        }
        relistMillis = INITIAL_BACKOFF_MILLIS;
        if (changes.position().era() > publishedState.position().era()) {
            populated = false;
            recoveredAtMillis = clock.getAsLong();
        } else {
            publishedState.merge(changes, "watch", storeWasUnavailable());
        }
        storeAnswered();
        start();
    }

    /** An answer without a usable era counts as one of the era that this VM knows. */
    private StoreChanges withUsableEra(StoreChanges changes) {
        long era = changes.position().era();
        long known = publishedState.position().era();
        boolean missing = era == StorePosition.NO_ERA && known != StorePosition.NO_ERA;
        boolean unusable = missing || era == StorePosition.INVALID_ERA;
        if (unusable && !eraUnusable) {
            String problem = missing ? "era is missing" : "era is not a whole number above 0";
            log.record(EventCode.STORE_ERA_UNUSABLE, problem, known);
        }
        eraUnusable = unusable;
        return unusable ? changes.withEra(known) : changes;
    }

    /** An answer of an earlier era changes nothing; the next call is made after a pause. */
    private boolean isOutdated(StoreChanges changes) {
        long era = changes.position().era();
        long known = publishedState.position().era();
        if (era >= known) {
            return false;
        }
        storeFailed(
                new StoreException(
                        StoreException.Kind.REFUSED,
                        "answer is of era " + era + ", era " + known + " is known"));
        return true;
    }

    private void storeFailed(Throwable cause) {
        if (cause instanceof StoreException failure
                && failure.kind() == StoreException.Kind.HISTORY_GONE) {
            populated = false;
            backoffMillis = Math.max(backoffMillis, relistMillis);
            relistMillis = Math.min(MAX_BACKOFF_MILLIS, relistMillis * 2);
        }
        if (unavailableSinceMillis < 0) {
            unavailableSinceMillis = clock.getAsLong();
            log.record(
                    EventCode.STORE_LOST, cause.getMessage(), publishedState.position().revision());
        }
        vertx.setTimer(backoffMillis, ignored -> start());
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
    }

    private void storeAnswered() {
        lastAnswerAtMillis = clock.getAsLong();
        backoffMillis = INITIAL_BACKOFF_MILLIS;
        markAvailable();
    }

    /** The store is available again, either to this VM or to the VMs that now read it. */
    private void markAvailable() {
        if (unavailableSinceMillis >= 0) {
            long unavailable = clock.getAsLong() - unavailableSinceMillis;
            unavailableSinceMillis = -1;
            recoveredAtMillis = clock.getAsLong();
            log.record(EventCode.STORE_REGAINED, publishedState.position().revision(), unavailable);
        }
    }
}
