package io.vanillapoint.entry.traffic;

import io.vertx.core.Future;
import java.util.HashSet;
import java.util.Set;

/**
 * Set of responses that are not yet written, from the arrival of the request headers until the last
 * byte is written to the connection or the connection closes.
 *
 * <p>Handles a stop of the VM while request bodies are still arriving or slow callers are still
 * reading responses; neither is counted as a running request. Confined to one event loop.
 */
public final class OpenResponses {
    private final Set<Object> open = new HashSet<>();

    /** Adds a response; the same object identifies it later. */
    void add(Object response) {
        open.add(response);
    }

    /** Removes a response once its last write completes or fails. */
    void removeAfter(Object response, Future<Void> written) {
        written.onComplete(result -> open.remove(response));
    }

    /** Removes a response whose connection has closed. */
    void remove(Object response) {
        open.remove(response);
    }

    /**
     * Number of open responses.
     *
     * @return 0 or more
     */
    public int count() {
        return open.size();
    }
}
