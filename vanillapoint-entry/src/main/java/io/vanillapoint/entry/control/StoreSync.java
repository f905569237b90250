package io.vanillapoint.entry.control;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventSink;
import io.vanillapoint.core.published.StoreChanges;
import io.vanillapoint.core.published.StoreListing;
import io.vanillapoint.core.published.StorePage;
import io.vanillapoint.core.published.StorePosition;
import io.vanillapoint.core.published.StoreReadPlan;
import io.vanillapoint.core.published.StoreReadPlan.Call;
import io.vanillapoint.entry.log.UnexpectedErrors;
import io.vanillapoint.entry.port.PublishedSource;
import io.vanillapoint.entry.port.PublishedSource.Part;
import io.vanillapoint.entry.port.StoreException;
import io.vertx.core.AsyncResult;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.ToLongFunction;

/**
 * Makes the calls to the platform's store that a {@link StoreReadPlan} decides on and applies the
 * answers to the published state.
 *
 * <p>Invariants: at most one call to the store is in progress; once the state is populated, calls
 * are made only while this VM is a store reader. Another call follows each call, whatever its
 * answer does, and also one whose end is never reported. Confined to one event loop.
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

    /** A call without an end after this time is abandoned. A call has time limits of its own. */
    private static final long MAX_CALL_MILLIS = 15_000;

    /** Pause after a call that could not be made or merged. */
    private static final long ERROR_PAUSE_MILLIS = 1_000;

    /** Interval at which a reader that does not go on is looked for. */
    private static final long STALL_CHECK_MILLIS = 1_000;

    private final Vertx vertx;
    private final PublishedSource source;
    private final PublishedState publishedState;
    private final EventSink log;
    private final UnexpectedErrors errors;
    private final LongSupplier clock;
    private final BooleanSupplier selectedAsReader;
    private final BooleanSupplier othersRead;
    private final StoreReadPlan plan =
            new StoreReadPlan(() -> ThreadLocalRandom.current().nextDouble());
    private final StoreAvailability availability;
    private StoreListing orders = new StoreListing();
    private StoreListing all = new StoreListing();

    /** Number of the newest call; the answer of any other is ignored. */
    private long currentCall;

    private boolean callInProgress;

    /** Time at which the next call is overdue. */
    private long stalledAtMillis;

    private boolean watching;
    private boolean reading = true;
    private boolean eraUnusable;
    private long watchStartedAtMillis;
    private long watchMillis = WATCH_MILLIS;
    private Call callMade = Call.LIST_ALL;

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
        availability =
                new StoreAvailability(
                        log, clock, () -> publishedState.position().revision(), ANSWERED_MILLIS);
    }

    void start() {
        vertx.setPeriodic(STALL_CHECK_MILLIS, ignored -> resumeIfStalled());
        next();
    }

    /** Makes the next call, if this VM is to make one. */
    private void next() {
        long call = ++currentCall;
        stalledAtMillis = clock.getAsLong() + MAX_CALL_MILLIS;
        long pauseMillis = ERROR_PAUSE_MILLIS;
        try {
            if (publishedState.takeListingNeeded()) {
                listingNeeded();
            }
            callMade = plan.next(clock.getAsLong());
            if (callMade != Call.WATCH) {
                callInProgress = true;
                list(call);
            } else if (selectedAsReader.getAsBoolean()) {
                setReading(true);
                callInProgress = true;
                watch(call);
            } else {
                setReading(false);
                availability.available();
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
        if (pauseMillis == StoreReadPlan.NO_PAUSE) {
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
        end(Future.failedFuture(noAnswer()), ignored -> StoreReadPlan.NO_PAUSE);
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
        return availability.answeredRecently();
    }

    /**
     * Tells whether the store is or was unavailable until recently, so that entries of live
     * replicas may have expired.
     */
    boolean storeWasUnavailable() {
        return availability.wasUnavailable();
    }

    /**
     * Continues from values copied from another VM. A watch that has waited for more than half its
     * time is cancelled, so that the next one starts at the new revision.
     */
    void stateCopied() {
        plan.allListed();
        all = new StoreListing();
        if (watching && clock.getAsLong() - watchStartedAtMillis > watchMillis / 2) {
            source.cancelWatch();
        }
    }

    /**
     * Lists the store after the call in progress, since another VM's values can't be copied whole.
     */
    void listingNeeded() {
        if (plan.populated()) {
            plan.listingNeeded(clock.getAsLong());
            startListings();
        }
    }

    /** Time since the store became unavailable in milliseconds, negative while it is available. */
    long unavailableMillis() {
        return availability.unavailableMillis();
    }

    private void startListings() {
        orders = new StoreListing();
        all = new StoreListing();
    }

    private void list(long call) {
        boolean listsOrders = callMade == Call.LIST_ORDERS;
        StoreListing listing = listsOrders ? orders : all;
        Part part = listsOrders ? Part.ORDERS : Part.ALL;
        source.page(part, listing.after())
                .onComplete(
                        answer -> {
                            if (call == currentCall) {
                                end(answer, page -> mergePage(listing, page));
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
    private <T> void end(AsyncResult<T> answer, ToLongFunction<T> merge) {
        long pauseMillis = ERROR_PAUSE_MILLIS;
        try {
            pauseMillis =
                    answer.failed()
                            ? callFailed(answer.cause())
                            : merge.applyAsLong(answer.result());
        } catch (Throwable e) {
            plan.listingNeeded(clock.getAsLong());
            startListings();
            errors.record("merging the store's answer", e);
            errors.contain("recording a failure of the store", () -> callFailed(e));
        } finally {
            nextAfter(pauseMillis);
        }
    }

    /** Merges a page. The pages before the last one change only what they contain. */
    private long mergePage(StoreListing listing, StorePage answer) {
        long era = usableEra(answer.position());
        if (isOutdated(era)) {
            startListings();
            return callFailed(outdated(era));
        }
        StorePage page = answer.withEra(era);
        Optional<String> problem = listing.add(page);
        if (problem.isPresent()) {
            startListings();
            return callFailed(new StoreException(StoreException.Kind.UNREACHABLE, problem.get()));
        }
        publishedState.trim(listing, page.items());
        if (!listing.complete()) {
            if (!publishedState.position().equals(StorePosition.START)) {
                StorePosition unchanged = new StorePosition(era, 0);
                publishedState.merge(
                        StoreChanges.changes(unchanged, page.items()),
                        "listing",
                        storeWasUnavailable());
            }
        } else if (listing == orders) {
            publishedState.mergeOrders(listing.changes(), "listing");
            orders = new StoreListing();
            plan.ordersListed(clock.getAsLong());
        } else {
            publishedState.merge(listing.changes(), "listing", storeWasUnavailable());
            all = new StoreListing();
            plan.allListed();
        }
        plan.answered();
        availability.answered();
        return StoreReadPlan.NO_PAUSE;
    }

    private long mergeWatched(StoreChanges answer) {
        if (clock.getAsLong() - watchStartedAtMillis > watchMillis + WATCH_DELAY_MILLIS) {
            availability.recovered();
        }
        long era = usableEra(answer.position());
        if (isOutdated(era)) {
            return callFailed(outdated(era));
        }
        if (era > publishedState.position().era()) {
            plan.eraChanged();
            startListings();
            availability.recovered();
        } else {
            publishedState.merge(answer.withEra(era), "watch", storeWasUnavailable());
        }
        plan.watchAnswered();
        availability.answered();
        return StoreReadPlan.NO_PAUSE;
    }

    /** An answer without a usable era counts as one of the era that this VM knows. */
    private long usableEra(StorePosition position) {
        long era = position.era();
        long known = publishedState.position().era();
        boolean missing = era == StorePosition.NO_ERA && known != StorePosition.NO_ERA;
        boolean unusable = missing || era == StorePosition.INVALID_ERA;
        if (unusable && !eraUnusable) {
            String problem = missing ? "era is missing" : "era is not a whole number above 0";
            log.record(EventCode.STORE_ERA_UNUSABLE, problem, known);
        }
        eraUnusable = unusable;
        return unusable ? known : era;
    }

    /** An answer of an earlier era changes nothing; the next call is made after a pause. */
    private boolean isOutdated(long era) {
        return era < publishedState.position().era();
    }

    private StoreException outdated(long era) {
        long known = publishedState.position().era();
        return new StoreException(
                StoreException.Kind.REFUSED,
                "answer is of era " + era + ", era " + known + " is known");
    }

    /**
     * Records a failure and returns the pause before the next call. A store whose answer is too
     * large is available.
     */
    private long callFailed(Throwable cause) {
        Optional<StoreException.Kind> kind =
                cause instanceof StoreException failure
                        ? Optional.of(failure.kind())
                        : Optional.empty();
        // An unexpected error may be due to the content of the answer.
        boolean relist = kind.map(StoreException.Kind::needsListing).orElse(true);
        if (relist && callMade == Call.WATCH) {
            startListings();
        }
        boolean tooLarge = kind.filter(StoreException.Kind.TOO_LARGE::equals).isPresent();
        if (tooLarge) {
            log.record(
                    EventCode.STORE_ANSWER_TOO_LARGE,
                    callMade,
                    cause.getMessage(),
                    publishedState.position().revision());
        } else {
            availability.lost(cause);
        }
        long now = clock.getAsLong();
        long pauseMillis = plan.failed(callMade, relist, now);
        if (callMade == Call.WATCH && relist && !tooLarge) {
            plan.deferOrders(now + pauseMillis);
        }
        return pauseMillis;
    }
}
