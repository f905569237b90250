package io.vanillapoint.entry.traffic;

import io.vanillapoint.core.attempt.AttemptOutcome;
import io.vanillapoint.core.attempt.OverlapLimit;
import java.util.OptionalDouble;

/**
 * The open attempts of one request: the current one, and a silent one that it may replace.
 *
 * <p>Invariants: there are at most two; the silent one is closed once the other one has been
 * working on an event stream for {@link OverlapLimit#cancelAfterMillis}, and not before the other
 * one has delivered something or is known to work. Confined to one event loop.
 */
final class AttemptPair {
    private final EntryContext context;
    private final RequestLog log;
    private final RestartableTimer overlapEnd;
    private RunningAttempt current;
    private RunningAttempt silent;

    /**
     * Creates a pair without attempts.
     *
     * @param context services shared by all requests
     * @param log log of the request's attempts
     * @param onOverlapEnd called when the silent attempt must be closed, since the engine of the
     *     current one works on the same stream
     */
    AttemptPair(EntryContext context, RequestLog log, Runnable onOverlapEnd) {
        this.context = context;
        this.log = log;
        overlapEnd = new RestartableTimer(context.vertx(), onOverlapEnd);
    }

    /** The attempt that is not silent, null if there is none. */
    RunningAttempt current() {
        return current;
    }

    /** Tells whether a silent attempt is open. */
    boolean hasSilent() {
        return silent != null;
    }

    boolean isSilent(RunningAttempt attempt) {
        return attempt == silent;
    }

    /** Tells whether an attempt is open. */
    boolean contains(RunningAttempt attempt) {
        return attempt == current || attempt == silent;
    }

    /** Adds the attempt that is about to be sent. */
    void begin(RunningAttempt attempt) {
        current = attempt;
    }

    /** Removes the current attempt, which has ended. */
    void endCurrent() {
        current = null;
        overlapEnd.cancel();
    }

    /** Makes the current attempt the silent one; another one is to be started beside it. */
    void setAsideCurrent() {
        silent = current;
        current = null;
    }

    /**
     * Records that an engine has begun to respond to the current attempt. An engine sends the head
     * of a stream with its first token, so it works on the request from then on.
     */
    void engineBegan(RunningAttempt attempt) {
        if (silent != null && attempt == current) {
            overlapEnd.start(
                    OverlapLimit.cancelAfterMillis(
                            roundTripMillis(silent), roundTripMillis(current)));
        }
    }

    /** Makes the silent attempt the current one again, and closes the one beside it, if any. */
    void reinstateSilent() {
        overlapEnd.cancel();
        RunningAttempt repeat = current;
        current = silent;
        silent = null;
        if (repeat != null) {
            repeat.close();
            logEnd(repeat, AttemptOutcome.SUPERSEDED, "silent replica is kept");
        }
    }

    /** Closes the silent attempt, if there is one. */
    void endSilent(AttemptOutcome outcome, String cause) {
        overlapEnd.cancel();
        if (silent != null) {
            RunningAttempt ended = silent;
            silent = null;
            ended.close();
            logEnd(ended, outcome, cause);
        }
    }

    /** Closes the current attempt; its outcome tells whether it may have run. */
    AttemptOutcome closeCurrent(String cause) {
        RunningAttempt ended = current;
        AttemptOutcome outcome = ended.sent() ? AttemptOutcome.LOST : AttemptOutcome.NOT_SENT;
        endCurrent();
        ended.close();
        logEnd(ended, outcome, cause);
        return outcome;
    }

    /** Closes all attempts without an entry in the log. */
    void closeAll() {
        overlapEnd.cancel();
        for (RunningAttempt open : new RunningAttempt[] {current, silent}) {
            if (open != null) {
                open.close();
            }
        }
        current = null;
        silent = null;
    }

    /** Round-trip time to the VM that runs an attempt, empty if this VM does. */
    private OptionalDouble roundTripMillis(RunningAttempt attempt) {
        return attempt.use().isPresent()
                ? OptionalDouble.empty()
                : OptionalDouble.of(context.chooser().roundTripMillis(attempt.region()));
    }

    private void logEnd(RunningAttempt attempt, AttemptOutcome outcome, String cause) {
        log.attemptEnded(attempt, outcome, cause, "over", context.clock().getAsLong());
    }
}
