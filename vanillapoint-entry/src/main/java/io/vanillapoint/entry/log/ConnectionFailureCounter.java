package io.vanillapoint.entry.log;

import io.vertx.core.http.HttpConnection;

/**
 * Counts connection failures. The request itself records the effect of a failure on it; without a
 * handler, Vert.x would log a stack trace for each failure. Confined to one event loop.
 */
public final class ConnectionFailureCounter {
    private final EntryMetrics metrics;

    /**
     * Creates a counter.
     *
     * @param metrics metrics in which failures are counted
     */
    public ConnectionFailureCounter(EntryMetrics metrics) {
        this.metrics = metrics;
    }

    /**
     * Counts the failures of a connection.
     *
     * @param connection the connection
     * @param peer kind of the remote side, the last part of the metric's name
     */
    public void countFailures(HttpConnection connection, String peer) {
        connection.exceptionHandler(error -> metrics.count("connection_failed." + peer));
    }
}
