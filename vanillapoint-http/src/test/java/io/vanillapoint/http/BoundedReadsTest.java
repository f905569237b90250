package io.vanillapoint.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.channel.DefaultChannelConfig;
import io.netty.channel.RecvByteBufAllocator.ExtendedHandle;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Bytes of one connection that are read before the event loop turns to the next. */
class BoundedReadsTest {
    private static final int MEGABYTE = 1_024 * 1_024;
    private static final String HEAD = "POST /a HTTP/1.1|";

    /** Guards against bodies that hold up others, and against connections left behind unread. */
    @ParameterizedTest
    @CsvSource(
            textBlock =
                    """
                    '',                                              131072
                    'a: b',                                          131072
                    'Content-Length: 2000000||',                     1048576
                    'Transfer-Encoding: chunked||200000|',           1048576
                    'Transfer-Encoding: chunked||ffff|',             131072
                    'Transfer-Encoding: chunked||1|x|1|x|1',         131072
                    'Transfer-Encoding: chunked||1|x|0|a: b',        131072
                    'Content-Length: 1||xGET /a HTTP/1.1|',          131072
                    """)
    void bytesOfATurnDependOnWhatFollows(String request, int expected) throws Exception {
        RequestParser parser = new RequestParser();
        parser.limitFields(MEGABYTE);
        read(parser, (HEAD + request).replace("|", "\r\n"));
        assertThat(turnBytes(parser), is(expected));
        assertThat("next turn", turnBytes(parser), is(expected));
    }

    private static void read(RequestParser parser, String text) throws Exception {
        byte[] input = text.getBytes(StandardCharsets.US_ASCII);
        RequestParser.Cursor cursor = new RequestParser.Cursor();
        cursor.move(0, input.length);
        while (parser.next(input, cursor) != RequestParser.Event.NONE) {
            parser.endsWithoutFurtherByte();
        }
    }

    /** Bytes of a turn in which every read fills its buffer. */
    private static int turnBytes(RequestParser parser) {
        ExtendedHandle handle =
                (ExtendedHandle) new BoundedReads(parser::onlyContentFollows).newHandle();
        handle.reset(new DefaultChannelConfig(new EmbeddedChannel()));
        int total = 0;
        do {
            handle.attemptedBytesRead(BoundedReads.MAX_READ_BYTES);
            handle.lastBytesRead(BoundedReads.MAX_READ_BYTES);
            handle.incMessagesRead(1);
            total += BoundedReads.MAX_READ_BYTES;
        } while (handle.continueReading(() -> true));
        return total;
    }
}
