package io.vanillapoint.entry.relay;

import io.vanillapoint.core.message.PeerMessage;
import io.vanillapoint.wire.PeerCodec;
import io.vertx.core.buffer.Buffer;

/** Encodes messages as frames: a four-byte payload length, then the payload. Stateless. */
final class FrameWriter {
    static final int LENGTH_BYTES = 4;

    /** Larger than the default limit for request bodies. */
    static final int MAX_FRAME_BYTES = 8 * 1_024 * 1_024;

    private final PeerCodec codec = new PeerCodec(MAX_FRAME_BYTES);

    Buffer frame(PeerMessage message) {
        byte[] payload = codec.encode(message);
        Buffer frame = Buffer.buffer(LENGTH_BYTES + payload.length);
        frame.appendInt(payload.length);
        return frame.appendBytes(payload);
    }
}
