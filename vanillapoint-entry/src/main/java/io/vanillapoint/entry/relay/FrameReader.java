package io.vanillapoint.entry.relay;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.core.message.PeerMessage;
import io.vanillapoint.wire.PeerCodec;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;
import java.util.function.Consumer;

/** Decodes frames written by {@link FrameWriter}. Confined to one event loop. */
final class FrameReader {
    private final PeerCodec codec = new PeerCodec(FrameWriter.MAX_FRAME_BYTES);
    private final RecordParser parser = RecordParser.newFixed(FrameWriter.LENGTH_BYTES);
    private boolean readingLength = true;

    FrameReader(Consumer<PeerMessage> receiver) {
        parser.handler(
                record -> {
                    if (readingLength) {
                        expectPayload(record.getInt(0));
                    } else {
                        readingLength = true;
                        parser.fixedSizeMode(FrameWriter.LENGTH_BYTES);
                        codec.decode(record.getBytes()).ifPresent(receiver);
                    }
                });
    }

    void read(Buffer data) {
        parser.handle(data);
    }

    private void expectPayload(int length) {
        if (length <= 0 || length > FrameWriter.MAX_FRAME_BYTES) {
            throw new VanillapointException(
                    ErrorCode.BAD_MESSAGE,
                    "relay frame",
                    "expected 1 to " + FrameWriter.MAX_FRAME_BYTES + " bytes, got " + length);
        }
        readingLength = false;
        parser.fixedSizeMode(length);
    }
}
