package io.vanillapoint.entry.log;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventSink;

/**
 * Boundary for errors that no code expects, used by loops, timers and handlers that must go on
 * after them. Errors of the virtual machine count too: one value or request can exhaust the stack
 * or the heap.
 *
 * <p>Invariant: recording an error never throws. Confined to the thread of its log.
 */
public final class UnexpectedErrors {
    private static final String COUNTER = "unexpected_errors";
    private static final String UNLOGGED_COUNTER = "unexpected_errors_not_logged";

    /** Longest description of an error in the log. */
    private static final int MAX_TEXT_LENGTH = 300;

    private final EventSink log;
    private final EntryMetrics metrics;

    /**
     * Creates a boundary.
     *
     * @param log records each error
     * @param metrics counts them
     */
    public UnexpectedErrors(EventSink log, EntryMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    /**
     * Runs work. An error in it is recorded and goes no further.
     *
     * @param place what the work does, for the log
     * @param work the work
     */
    public void contain(String place, Runnable work) {
        try {
            work.run();
        } catch (Throwable e) {
            record(place, e);
        }
    }

    /**
     * Logs and counts an error.
     *
     * @param place what was being done
     * @param error the error
     */
    public void record(String place, Throwable error) {
        try {
            metrics.count(COUNTER);
            log.record(EventCode.INTERNAL_ERROR, place, describe(error));
        } catch (Throwable e) {
            metrics.count(UNLOGGED_COUNTER);
        }
    }

    private static String describe(Throwable error) {
        String text = String.valueOf(error);
        if (text.length() > MAX_TEXT_LENGTH) {
            text = text.substring(0, MAX_TEXT_LENGTH) + "...";
        }
        StackTraceElement[] trace = error.getStackTrace();
        return trace.length == 0 ? text : text + " at " + trace[0];
    }
}
