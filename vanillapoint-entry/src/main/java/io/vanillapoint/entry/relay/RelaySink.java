package io.vanillapoint.entry.relay;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.RunState;
import io.vanillapoint.core.message.ForwardCredit;
import io.vanillapoint.core.message.ForwardData;
import io.vanillapoint.core.message.ForwardEnd;
import io.vanillapoint.core.message.ForwardFailure;
import io.vanillapoint.core.message.ForwardHead;
import io.vanillapoint.core.message.ForwardStalled;
import io.vanillapoint.core.message.HeaderField;
import io.vanillapoint.core.message.PeerMessage;
import io.vanillapoint.entry.traffic.HttpResponseSink;
import io.vanillapoint.entry.traffic.OpenResponses;
import io.vanillapoint.entry.traffic.Refusal;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;
import java.util.OptionalLong;

/**
 * Writes the response to a relayed request as frames. The first frame acknowledges the request
 * immediately, so that the other VM can tell a stalled connection from a slow upstream. Confined to
 * the connection's event loop.
 */
final class RelaySink extends HttpResponseSink {
    /** Interval of the frames that keep a relay alive; three may be missing before it is silent. */
    static final long KEEP_ALIVE_MILLIS = 250;

    private final FrameWriter frames = new FrameWriter();
    private long dataBytes;
    private boolean sentInInterval;

    RelaySink(HttpServerResponse response, OpenResponses openResponses) {
        super(response, openResponses);
        response.setChunked(true);
    }

    /** Acknowledges that the request has been received completely. */
    void acknowledge() {
        send(new ForwardCredit(0, 0));
    }

    /**
     * Acknowledges the request and sends a frame in each interval without another one until the
     * response has ended, so that the other VM can tell a connection that has fallen silent from a
     * slow upstream. Two frames are less than two intervals apart.
     *
     * @param vertx event loop of the connection
     */
    void acknowledgeWithKeepAlive(Vertx vertx) {
        send(new ForwardCredit(0, KEEP_ALIVE_MILLIS));
        vertx.setPeriodic(
                KEEP_ALIVE_MILLIS,
                timer -> {
                    if (closed()) {
                        vertx.cancelTimer(timer);
                    } else if (!sentInInterval && !response().writeQueueFull()) {
                        send(new ForwardCredit(0, KEEP_ALIVE_MILLIS));
                    }
                    sentInInterval = false;
                });
    }

    @Override
    public void head(int status, List<HeaderField> headers, OptionalLong length) {
        send(new ForwardHead(0, status, headers));
    }

    @Override
    public void write(Buffer data) {
        dataBytes += data.length();
        send(new ForwardData(0, data.getBytes()));
    }

    @Override
    public void stalled() {
        send(new ForwardStalled(0));
    }

    @Override
    public void end() {
        send(new ForwardEnd(0, dataBytes));
        close();
    }

    @Override
    public void abort() {
        fail(ErrorCode.UPSTREAM_FAILED, "answer broke off", RunState.UNKNOWN, 0);
    }

    @Override
    public void refuse(Refusal refusal) {
        RunState state = refusal.notRun() ? RunState.NOT_RUN : RunState.UNKNOWN;
        ErrorCode code = ErrorCode.UPSTREAM_FAILED;
        if (refusal.notRun()) {
            code = refusal.attempted() ? ErrorCode.OVERLOADED : ErrorCode.NO_UPSTREAM;
        }
        fail(code, refusal.reason(), state, refusal.retryAfterMillis());
    }

    private void fail(ErrorCode code, String reason, RunState state, long retryAfterMillis) {
        send(new ForwardFailure(0, code, reason, state, retryAfterMillis));
        close();
    }

    private void send(PeerMessage message) {
        if (!closed()) {
            sentInInterval = true;
            response().write(frames.frame(message));
        }
    }

    private void close() {
        if (!closed()) {
            endResponse();
        }
    }
}
