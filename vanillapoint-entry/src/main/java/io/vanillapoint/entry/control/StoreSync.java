package io.vanillapoint.entry.control;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventSink;
import io.vanillapoint.core.published.StoreChanges;
import io.vanillapoint.core.published.StorePosition;
import io.vanillapoint.entry.log.UnexpectedErrors;
import io.vanillapoint.entry.port.PublishedSource;
import io.vanillapoint.entry.port.StoreException;
import io.vertx.core.AsyncResult;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.ToLongFunction;

/**
 * Applies the platform's store to the published state: one listing, then successive watches.
 *
 * <p>Invariants: at most one call to the store is in progress; once the state is populated, calls
 * are made only while this VM is a store reader. Failed calls are retried with a capped exponential
 * backoff. Another call follows each call, whatever its answer does, and also one whose end is
 * never reported. Confined to one event loop.
 */
final class StoreSync {
    /** Longest wait of one watch, which bounds the time to detect a stalled connection. */
    private static final long WATCH_MILLIS = 3_000;

    /** The same while no other VM would tell of a change. */
    private static final long LONE_WATCH_MILLIS = 1_000;

    /** While the store is available, two responses are no further apart than this. */
    private static final long ANSWERED_MILLIS = WATCH_MILLIS + 1_000;

    /** Interval at which a VM that is not a store reader checks whether it has become one. */
    private static final long READER_CHECK_MILLIS = 300;

    /** A watch answered later than this after its wait was delayed by an unavailable store. */
    private static final long WATCH_DELAY_MILLIS = 300;

    /**
     * Entries of live replicas expire and are published again within about two seconds of the
     * store's recovery.
     */
    private static final long ENTRY_RECOVERY_MILLIS = 2_500;

    private static final long INITIAL_BACKOFF_MILLIS = 200;
    private static final long MAX_BACKOFF_MILLIS = 1_000;

    /** A call without an end after this time is abandoned. A listing may have many pages. */
    private static final long MAX_CALL_MILLIS = 30_000;

    /** Interval at which a reader that does not go on is looked for. */
    private static final long STALL_CHECK_MILLIS = 1_000;

    private static final long NO_PAUSE = 0;

    private final Vertx vertx;
    private final PublishedSource source;
    private final PublishedState publishedState;
    private final EventSink log;
    private final UnexpectedErrors errors;
    private final LongSupplier clock;
    private final BooleanSupplier selectedAsReader;
    private final BooleanSupplier othersRead;
    private boolean populated;

    /** Number of the newest call; the answer of any other is ignored. */
    private long currentCall;

    private boolean callInProgress;

    /** Time at which the next call is overdue. */
    private long stalledAtMillis;

    private boolean watching;
    private boolean reading = true;
    private long unavailableSinceMillis = -1;
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;

    /** Pause before the next listing if the store lacks the history after each one. */
    private long relistMillis = INITIAL_BACKOFF_MILLIS;

    private boolean eraUnusable;
    private long watchStartedAtMillis;
    private long watchMillis = WATCH_MILLIS;
    private long lastAnswerAtMillis = -ANSWERED_MILLIS;
    private long recoveredAtMillis = Long.MIN_VALUE / 2;

    StoreSync(
            Vertx vertx,
            PublishedSource source,
            PublishedState publishedState,
            EventSink log,
            UnexpectedErrors errors,
            LongSupplier clock,
            BooleanSupplier selectedAsReader,
            BooleanSupplier othersRead) {
        this.vertx = vertx;
        this.source = source;
        this.publishedState = publishedState;
        this.log = log;
        this.errors = errors;
        this.clock = clock;
        this.selectedAsReader = selectedAsReader;
        this.othersRead = othersRead;
    }

    void start() {
        vertx.setPeriodic(STALL_CHECK_MILLIS, ignored -> resumeIfStalled());
        next();
    }

    /** Makes the next call, if this VM is to make one. */
    private void next() {
        long call = ++currentCall;
        stalledAtMillis = clock.getAsLong() + MAX_CALL_MILLIS;
        long pauseMillis = MAX_BACKOFF_MILLIS;
        try {
            if (!populated) {
                callInProgress = true;
                list(call);
            } else if (selectedAsReader.getAsBoolean()) {
                setReading(true);
                callInProgress = true;
                watch(call);
            } else {
                setReading(false);
                markAvailable();
                pauseMillis = READER_CHECK_MILLIS;
            }
        } catch (Throwable e) {
            callInProgress = false;
            errors.record("calling the store", e);
        } finally {
            if (!callInProgress && call == currentCall) {
                nextAfter(pauseMillis);
            }
        }
    }

    private void nextAfter(long pauseMillis) {
        callInProgress = false;
        stalledAtMillis = clock.getAsLong() + pauseMillis + STALL_CHECK_MILLIS;
        if (pauseMillis == NO_PAUSE) {
            next();
        } else {
            long call = currentCall;
            vertx.setTimer(
                    pauseMillis,
                    ignored -> {
                        if (call == currentCall) {
                            next();
                        }
                    });
        }
    }

    private void resumeIfStalled() {
        if (clock.getAsLong() < stalledAtMillis) {
            return;
        }
        if (!callInProgress) {
            next();
            return;
        }
        currentCall++;
        watching = false;
        errors.contain("abandoning a call to the store", source::cancelWatch);
        end(Future.failedFuture(noAnswer()), this::merge);
    }

    private static StoreException noAnswer() {
        return new StoreException(
                StoreException.Kind.UNREACHABLE, "no answer within " + MAX_CALL_MILLIS + " ms");
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
        if (watching && clock.getAsLong() - watchStartedAtMillis > watchMillis / 2) {
            source.cancelWatch();
        }
    }

    /** Time since the store became unavailable in milliseconds, negative while it is available. */
    long unavailableMillis() {
        return unavailableSinceMillis < 0 ? -1 : clock.getAsLong() - unavailableSinceMillis;
    }

    private void list(long call) {
        source.list()
                .onComplete(
                        answer -> {
                            if (call == currentCall) {
                                end(answer, this::merge);
                            }
                        });
    }

    private void watch(long call) {
        watching = true;
        watchStartedAtMillis = clock.getAsLong();
        watchMillis = othersRead.getAsBoolean() ? WATCH_MILLIS : LONE_WATCH_MILLIS;
        source.watch(publishedState.position().revision(), watchMillis)
                .onComplete(
                        answer -> {
                            if (call == currentCall) {
                                watching = false;
                                end(answer, this::mergeWatched);
                            }
                        });
    }

    /**
     * Ends a call and makes the next one. The function merges an answer and returns the pause
     * before the next call. An unexpected error counts as a failure of the store; a listing
     * follows, since the answer may be merged in part.
     */
    private void end(AsyncResult<StoreChanges> answer, ToLongFunction<StoreChanges> merge) {
        long pauseMillis = MAX_BACKOFF_MILLIS;
        try {
            pauseMillis =
                    answer.failed()
                            ? storeFailed(answer.cause())
                            : merge.applyAsLong(answer.result());
        } catch (Throwable e) {
            populated = false;
            errors.record("merging the store's answer", e);
            errors.contain("recording a failure of the store", () -> storeFailed(e));
        } finally {
            nextAfter(pauseMillis);
        }
    }

    private long merge(StoreChanges answer) {
        StoreChanges listing = withUsableEra(answer);
        if (isOutdated(listing)) {
            return storeFailed(outdated(listing));
        }
        publishedState.merge(listing, "listing", storeWasUnavailable());
        populated = true;
        storeAnswered();
        return NO_PAUSE;
    }

    private long mergeWatched(StoreChanges answer) {
        if (clock.getAsLong() - watchStartedAtMillis > watchMillis + WATCH_DELAY_MILLIS) {
            recoveredAtMillis = clock.getAsLong();
        }
        StoreChanges changes = withUsableEra(answer);
        if (isOutdated(changes)) {
            return storeFailed(outdated(changes));
        }
        relistMillis = INITIAL_BACKOFF_MILLIS;
        if (changes.position().era() > publishedState.position().era()) {
            populated = false;
            recoveredAtMillis = clock.getAsLong();
        } else {
            publishedState.merge(changes, "watch", storeWasUnavailable());
        }
        storeAnswered();
        return NO_PAUSE;
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
        return changes.position().era() < publishedState.position().era();
    }

    private StoreException outdated(StoreChanges changes) {
        long era = changes.position().era();
        long known = publishedState.position().era();
        return new StoreException(
                StoreException.Kind.REFUSED,
                "answer is of era " + era + ", era " + known + " is known");
    }

    /** Returns the pause before the next call. */
    private long storeFailed(Throwable cause) {
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
        long pauseMillis = backoffMillis;
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
        return pauseMillis;
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
