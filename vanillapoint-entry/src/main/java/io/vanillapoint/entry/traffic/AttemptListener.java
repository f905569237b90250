package io.vanillapoint.entry.traffic;

import io.vanillapoint.core.attempt.AttemptOutcome;
import io.vanillapoint.entry.port.ResponseEnvelope;
import io.vertx.core.buffer.Buffer;

/**
 * Receives the result of one attempt: the head, body data and the end, or a failure at any point.
 * No call follows an end or a failure. Confined to one event loop.
 */
public interface AttemptListener {
    /**
     * Called when the response headers have arrived.
     *
     * @param head status and headers
     */
    void head(ResponseEnvelope head);

    /**
     * Called when a part of the body has arrived.
     *
     * @param data bytes
     */
    void data(Buffer data);

    /** Called when the VM that the request was relayed to reports that its replica is silent. */
    void stalled();

    /**
     * Called when the response is complete according to its framing.
     *
     * @param framed false if the body is delimited only by the end of the connection
     */
    void end(boolean framed);

    /**
     * Called when the attempt ends without a complete response.
     *
     * @param outcome outcome of the attempt
     * @param cause description for the log
     * @param retryAfterMillis retry delay that the other side asks for, 0 if none
     */
    void failed(AttemptOutcome outcome, String cause, long retryAfterMillis);
}
