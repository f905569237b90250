package io.vanillapoint.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

/**
 * One chunk with the content of all chunks of one read, on the heap. Confined to one event loop.
 */
final class MergedChunk {
    /** Eight digits of the size and the line end. */
    private static final int SIZE_LINE_BYTES = 10;

    private static final byte[] LINE_END = {'\r', '\n'};
    private static final byte[] LAST_CHUNK = {'0', '\r', '\n', '\r', '\n'};

    private final ByteBuf bytes;

    /** Creates a chunk without content. */
    MergedChunk(int maxBytes) {
        bytes =
                Unpooled.buffer(SIZE_LINE_BYTES + maxBytes + LINE_END.length + LAST_CHUNK.length)
                        .writeZero(SIZE_LINE_BYTES);
    }

    /** The chunk that ends a body. */
    static ByteBuf last() {
        return Unpooled.wrappedBuffer(LAST_CHUNK);
    }

    void append(byte[] input, int start, int count) {
        bytes.writeBytes(input, start, count);
    }

    /** Completes the chunk, with the one that ends the body behind it if it is the last. */
    ByteBuf bytes(boolean last) {
        int size = bytes.writerIndex() - SIZE_LINE_BYTES;
        String sizeLine = HexFormat.of().toHexDigits(size) + "\r\n";
        bytes.setBytes(0, sizeLine.getBytes(StandardCharsets.US_ASCII));
        bytes.writeBytes(LINE_END);
        return last ? bytes.writeBytes(LAST_CHUNK) : bytes;
    }
}
