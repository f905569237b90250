package io.vanillapoint.server.traffic;

import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.core.message.ForwardData;
import io.vanillapoint.core.message.ForwardEnd;
import io.vanillapoint.core.message.ForwardFailure;
import io.vanillapoint.core.message.ForwardHead;
import io.vanillapoint.core.message.HeaderField;
import io.vanillapoint.server.peer.FrameSocket;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.List;

/**
 * Sends a response to the VM that forwarded the request, with credit-based flow control. Confined
 * to the connection's event loop.
 */
final class PeerSink implements ResponseSink {
    private static final long WINDOW_BYTES = 256 * 1024;

    private final FrameSocket socket;
    private final long streamId;
    private long credit = WINDOW_BYTES;
    private long sentBytes;
    private boolean ended;
    private Runnable drainHandler = () -> {};
    private Runnable closeHandler = () -> {};

    PeerSink(FrameSocket socket, long streamId) {
        this.socket = socket;
        this.streamId = streamId;
    }

    @Override
    public void head(int status, List<HeaderField> headers) {
        socket.send(new ForwardHead(streamId, status, headers));
    }

    @Override
    public void data(Buffer part) {
        if (ended) {
            return;
        }
        sentBytes += part.length();
        credit -= part.length();
        socket.send(new ForwardData(streamId, part.getBytes()));
    }

    @Override
    public boolean isFull() {
        return credit <= 0;
    }

    @Override
    public void onDrain(Runnable handler) {
        drainHandler = handler;
    }

    @Override
    public void end() {
        ended = true;
        socket.send(new ForwardEnd(streamId, sentBytes));
    }

    @Override
    public void fail(VanillapointException error) {
        if (ended) {
            return;
        }
        ended = true;
        long retryAfter = error.retryAfter().map(Duration::toMillis).orElse(0L);
        socket.send(
                new ForwardFailure(
                        streamId, error.code(), error.getMessage(), error.runState(), retryAfter));
    }

    @Override
    public void onClose(Runnable handler) {
        closeHandler = handler;
    }

    /** Adds credit that the receiver has granted. */
    void addCredit(long bytes) {
        boolean wasFull = isFull();
        credit += bytes;
        if (wasFull && !isFull()) {
            drainHandler.run();
        }
    }

    /** Called when the receiver has disconnected or cancelled the request. */
    void onClosed() {
        ended = true;
        closeHandler.run();
    }
}
