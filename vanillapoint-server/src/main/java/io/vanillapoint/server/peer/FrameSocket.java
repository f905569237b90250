package io.vanillapoint.server.peer;

import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventSink;
import io.vanillapoint.core.message.PeerMessage;
import io.vanillapoint.server.event.HybridClock;
import io.vanillapoint.wire.PeerCodec;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * Reads and writes framed messages on one connection. A frame is a 4-byte length of the rest, the
 * sender's 8-byte timestamp and the payload. A malformed frame closes the connection. Confined to
 * the connection's event loop.
 */
public final class FrameSocket {
    private static final int LENGTH_BYTES = 4;
    private static final int TIMESTAMP_BYTES = Long.BYTES;

    private final NetSocket socket;
    private final PeerCodec codec;
    private final EventSink events;
    private final HybridClock clock;
    private final RecordParser parser = RecordParser.newFixed(LENGTH_BYTES);
    private LongConsumer sentBytes = bytes -> {};
    private Consumer<PeerMessage> receiver = message -> {};
    private boolean expectsLength = true;
    private boolean closed;

    /**
     * Wraps a connection.
     *
     * @param socket the connection
     * @param codec reads and writes payloads
     * @param events receives events
     * @param clock clock that timestamps sent frames and observes the timestamps of received ones
     */
    public FrameSocket(NetSocket socket, PeerCodec codec, EventSink events, HybridClock clock) {
        this.socket = socket;
        this.codec = codec;
        this.events = events;
        this.clock = clock;
        parser.handler(this::onBytes);
        socket.handler(parser);
    }

    /**
     * Sets the receiver of messages.
     *
     * @param newReceiver called for each message
     */
    public void receiver(Consumer<PeerMessage> newReceiver) {
        receiver = newReceiver;
    }

    /**
     * Sets the counter of sent bytes.
     *
     * @param counter called with the size of each sent frame in bytes
     */
    public void countSent(LongConsumer counter) {
        sentBytes = counter;
    }

    /**
     * Sets the handler for the end of the connection.
     *
     * @param handler called once
     */
    public void closeHandler(Runnable handler) {
        socket.closeHandler(
                ignored -> {
                    closed = true;
                    handler.run();
                });
    }

    /**
     * Sends a message.
     *
     * @param message message to send
     * @return completed when it was written; failed if the connection is closed
     */
    public Future<Void> send(PeerMessage message) {
        if (closed) {
            return Future.failedFuture("connection is closed");
        }
        byte[] payload = codec.encode(message);
        Buffer frame = Buffer.buffer(LENGTH_BYTES + TIMESTAMP_BYTES + payload.length);
        frame.appendInt(TIMESTAMP_BYTES + payload.length);
        frame.appendLong(clock.nextPacked());
        frame.appendBytes(payload);
        sentBytes.accept(frame.length());
        return socket.write(frame);
    }

    /** Closes the connection. */
    public void close() {
        closed = true;
        socket.close();
    }

    private void onBytes(Buffer buffer) {
        if (closed) {
            return;
        }
        try {
            if (expectsLength) {
                expectPayload(buffer.getInt(0));
            } else {
                expectsLength = true;
                parser.fixedSizeMode(LENGTH_BYTES);
                clock.observePacked(buffer.getLong(0));
                codec.decode(buffer.getBytes(TIMESTAMP_BYTES, buffer.length()))
                        .ifPresent(this::receive);
            }
        } catch (VanillapointException e) {
            events.record(EventCode.PEER_BAD_FRAME, socket.remoteAddress(), e.getMessage());
            close();
        } catch (Throwable e) {
            // The place of the next frame may be lost.
            close();
            events.record(
                    EventCode.INTERNAL_ERROR, "reading a frame of " + socket.remoteAddress(), e);
        }
    }

    /** An unexpected error must not reach the parser, which would withhold the next frames. */
    private void receive(PeerMessage message) {
        try {
            receiver.accept(message);
        } catch (VanillapointException e) {
            throw e;
        } catch (Throwable e) {
            events.record(
                    EventCode.INTERNAL_ERROR, "handling a message of " + socket.remoteAddress(), e);
        }
    }

    private void expectPayload(int length) {
        int maxLength = TIMESTAMP_BYTES + codec.maxFrameBytes();
        if (length <= TIMESTAMP_BYTES || length > maxLength) {
            String text =
                    "expected "
                            + (TIMESTAMP_BYTES + 1)
                            + " to "
                            + maxLength
                            + " bytes, got "
                            + length;
            events.record(EventCode.PEER_BAD_FRAME, socket.remoteAddress(), text);
            close();
            return;
        }
        expectsLength = false;
        parser.fixedSizeMode(length);
    }
}
