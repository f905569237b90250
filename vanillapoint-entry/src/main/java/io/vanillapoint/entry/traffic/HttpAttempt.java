package io.vanillapoint.entry.traffic;

import io.vanillapoint.core.attempt.AttemptOutcome;
import io.vanillapoint.http.MalformedResponseException;
import io.vanillapoint.http.ResponseReading;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;

/**
 * Base class for attempts over HTTP.
 *
 * <p>Invariant: the listener is told of at most one end or failure and is not called afterwards.
 * Confined to one event loop.
 */
public abstract class HttpAttempt implements Attempt {
    private final AttemptListener listener;
    private HttpClientRequest request;
    private HttpClientResponse response;
    private boolean sent;
    private boolean done;
    private boolean paused;

    /**
     * Creates an attempt that has not been sent.
     *
     * @param listener receives the result
     */
    protected HttpAttempt(AttemptListener listener) {
        this.listener = listener;
    }

    @Override
    public final void cancel() {
        done = true;
        releaseResources();
        reset();
    }

    @Override
    public final boolean sent() {
        return sent;
    }

    @Override
    public final void pause() {
        paused = true;
        if (response != null) {
            ResponseReading.pause(request);
        }
    }

    @Override
    public final void resume() {
        paused = false;
        if (response != null) {
            ResponseReading.resume(request);
        }
    }

    /**
     * Releases the resources of the attempt. Called when it has ended and when it is cancelled, so
     * a second call must do no harm.
     */
    protected void releaseResources() {
        // No resources to release by default.
    }

    /**
     * Tells whether the attempt was cancelled or has ended.
     *
     * @return true if the listener must not be called any more
     */
    protected final boolean done() {
        return done;
    }

    /**
     * Tells whether this VM has stopped reading the response.
     *
     * @return true between a pause and the next resumption
     */
    protected final boolean paused() {
        return paused;
    }

    /**
     * The listener, to be called only while the attempt is not done.
     *
     * @return the listener
     */
    protected final AttemptListener listener() {
        return listener;
    }

    /**
     * Registers the request that is about to be sent.
     *
     * @param clientRequest request on an open connection
     */
    protected final void requestOpened(HttpClientRequest clientRequest) {
        request = clientRequest;
        // The response future fails with the same error; a reset is initiated by this VM.
        clientRequest.exceptionHandler(error -> {});
    }

    /** Records that the request is about to be sent; from now on it may run. */
    protected final void sending() {
        sent = true;
    }

    /**
     * Registers the response whose headers have arrived.
     *
     * @param clientResponse the response
     */
    protected final void responseStarted(HttpClientResponse clientResponse) {
        response = clientResponse;
        clientResponse.exceptionHandler(this::failResponse);
    }

    /**
     * Ends the attempt because its response cannot be read to its end. A malformed one is no sign
     * that the other side is down.
     *
     * @param error what was wrong with the response, or why the connection ended
     */
    protected final void failResponse(Throwable error) {
        boolean malformed = error instanceof MalformedResponseException;
        fail(malformed ? AttemptOutcome.GARBLED : AttemptOutcome.LOST, error.getMessage(), 0);
    }

    /**
     * Runs a step of the attempt. An unexpected error in it ends the attempt, which may have run if
     * the request was sent by then.
     *
     * @param step what is done, for the log
     * @param work the step
     */
    protected final void guarded(String step, Runnable work) {
        try {
            work.run();
        } catch (Throwable e) {
            AttemptOutcome outcome = sent ? AttemptOutcome.LOST : AttemptOutcome.WITHHELD;
            fail(outcome, step + " failed: " + e, 0);
            reset();
        }
    }

    /** Resets the request's connection, if there is one. */
    protected final void reset() {
        if (request != null) {
            request.reset();
        }
    }

    /**
     * Ends the attempt with a complete response.
     *
     * @param framed false if the body is delimited only by the end of the connection
     */
    protected final void succeed(boolean framed) {
        if (!done) {
            done = true;
            releaseResources();
            ResponseReading.resume(request);
            listener.end(framed);
        }
    }

    /**
     * Ends the attempt without a complete response.
     *
     * @param outcome outcome of the attempt
     * @param cause description for the log
     * @param retryAfterMillis retry delay that the other side asks for, 0 if none
     */
    protected final void fail(AttemptOutcome outcome, String cause, long retryAfterMillis) {
        if (!done) {
            done = true;
            releaseResources();
            listener.failed(outcome, String.valueOf(cause), retryAfterMillis);
        }
    }
}
