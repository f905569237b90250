package io.vanillapoint.entry.traffic;

import io.vertx.core.http.HttpServerResponse;

/** What sinks that write an HTTP response have in common. Confined to one event loop. */
public abstract class ResponseSink implements AnswerSink {
    private final HttpServerResponse response;

    /**
     * Creates a sink that has written nothing.
     *
     * @param response where the answer goes
     */
    protected ResponseSink(HttpServerResponse response) {
        this.response = response;
    }

    @Override
    public final boolean full() {
        return !gone() && response.writeQueueFull();
    }

    @Override
    public final void onDrain(Runnable action) {
        response.drainHandler(
                nothing -> {
                    response.drainHandler(null);
                    action.run();
                });
    }

    /**
     * Where the answer goes.
     *
     * @return the response
     */
    protected final HttpServerResponse response() {
        return response;
    }

    /**
     * Tells whether nothing more can be written.
     *
     * @return true if the response has ended or its receiver has left
     */
    protected final boolean gone() {
        return response.ended() || response.closed();
    }
}
