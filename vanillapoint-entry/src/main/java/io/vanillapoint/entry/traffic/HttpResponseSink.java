package io.vanillapoint.entry.traffic;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;

/** Base class for sinks that write an HTTP response. Confined to one event loop. */
public abstract class HttpResponseSink implements ResponseSink {
    private final HttpServerResponse response;
    private final OpenResponses openResponses;
    private Runnable finishAction = () -> {};

    /**
     * Creates a sink and registers its response as open.
     *
     * @param response response to write to
     * @param openResponses open responses; this one is removed once it is written
     */
    protected HttpResponseSink(HttpServerResponse response, OpenResponses openResponses) {
        this.response = response;
        this.openResponses = openResponses;
        openResponses.add(this);
        response.closeHandler(ignored -> closedByPeer());
    }

    /**
     * Sets the action for a connection that closes before the response has ended.
     *
     * @param action called at most once
     */
    public final void onClose(Runnable action) {
        response.closeHandler(
                ignored -> {
                    closedByPeer();
                    action.run();
                });
    }

    /**
     * Sets the action for the end of the response or the close of its connection.
     *
     * @param action may be called twice
     */
    public final void onFinish(Runnable action) {
        finishAction = action;
    }

    /**
     * Removes the action that {@link #onFinish} has set.
     *
     * @return the action, which this sink no longer runs
     */
    public final Runnable takeFinishAction() {
        Runnable taken = finishAction;
        finishAction = () -> {};
        return taken;
    }

    private void closedByPeer() {
        openResponses.remove(this);
        finishAction.run();
    }

    @Override
    public final boolean isFull() {
        return !closed() && response.writeQueueFull();
    }

    @Override
    public final void onDrain(Runnable action) {
        response.drainHandler(
                ignored -> {
                    response.drainHandler(null);
                    action.run();
                });
    }

    /**
     * The response that this sink writes to.
     *
     * @return the response
     */
    protected final HttpServerResponse response() {
        return response;
    }

    /** Ends the response. */
    protected final void endResponse() {
        openResponses.removeAfter(this, response.end());
        finishAction.run();
    }

    /**
     * Writes the last bytes and ends the response.
     *
     * @param last last bytes of the body
     */
    protected final void endResponse(Buffer last) {
        openResponses.removeAfter(this, response.end(last));
        finishAction.run();
    }

    /**
     * Tells whether nothing more can be written.
     *
     * @return true if the response has ended or its connection is closed
     */
    protected final boolean closed() {
        return response.ended() || response.closed();
    }
}
