package io.vanillapoint.entry.log;

import io.vertx.core.http.HttpConnection;

/**
 * Counts connections that fail. What a failure means for a request is recorded by the request
 * itself; without a handler, the library would write a line and a stack trace for each. Confined to
 * one event loop.
 */
public final class ConnectionFailures {
    private final EntryMetrics metrics;

    /**
     * Creates a counter.
     *
     * @param metrics where failures are counted
     */
    public ConnectionFailures(EntryMetrics metrics) {
        this.metrics = metrics;
    }

    /**
     * Watches a connection.
     *
     * @param connection the connection
     * @param peer who is at its other end, as part of the metric's name
     */
    public void watch(HttpConnection connection, String peer) {
        connection.exceptionHandler(error -> metrics.count("connection_failed." + peer));
    }
}
