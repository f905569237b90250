package io.vanillapoint.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Well-formed requests and their bounds, whatever the pieces in which they arrive. */
class RequestParserTest {
    private static final String GET = "GET /a HTTP/1.1\r\n";
    private static final String CHUNKED = GET + "Transfer-Encoding: chunked\r\n\r\n";
    private static final int FIELD_BYTES = 16_384;

    /** Guards against a request whose end depends on how it is cut. */
    @Test
    void requestsAreReadAlikeInPiecesOfAnySize() throws Exception {
        String requests =
                "\r\n"
                        + GET
                        + "A: b\r\n\r\n"
                        + GET
                        + "Content-Length: 3\r\n\r\nabc"
                        + CHUNKED
                        + "2;x=y\r\nab\r\nA\r\n0123456789\r\n0\r\nT: u\r\n\r\n";
        for (int size = 1; size <= requests.length(); size++) {
            assertThat(
                    "pieces of " + size,
                    read(requests, size),
                    is(
                            List.of(
                                    "head 1",
                                    "end",
                                    "head 1",
                                    "abc",
                                    "end",
                                    "head 1",
                                    "ab0123456789",
                                    "end")));
        }
    }

    /** Guards against heads whose bounds the library might see elsewhere. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET /a HTTP/1.1\n\n",
                "GET  /a HTTP/1.1\r\n\r\n",
                "GET /a\r\n\r\n",
                "GET /a b HTTP/1.1\r\n\r\n",
                "G\u0000T /a HTTP/1.1\r\n\r\n",
                " GET /a HTTP/1.1\r\n\r\n",
                GET + "A: b\n\r\n",
                GET + "A : b\r\n\r\n",
                GET + " A: b\r\n\r\n",
                GET + "A: b\r\n c\r\n\r\n",
                GET + "A\r\n\r\n",
                GET + ": b\r\n\r\n",
                GET + "A: b\u0000\r\n\r\n",
                GET + "A: b\rc\r\n\r\n",
                GET + "Content-Length: 1\r\nContent-Length: 1\r\n\r\n",
                GET + "Content-Length: +1\r\n\r\n",
                GET + "Content-Length: 1, 1\r\n\r\n",
                GET + "Content-Length:\r\n\r\n",
                GET + "Content-Length: 9999999999999999999\r\n\r\n",
                GET + "Transfer-Encoding: gzip, chunked\r\n\r\n",
                GET + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
                "GET /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
            })
    void malformedHeadIsRefused(String head) {
        assertRefused(head, RequestRefusal.MALFORMED_HEAD);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "x\r\n",
                "\r\n",
                ";a\r\n",
                "1\n",
                "1\r\r\n",
                "1 \r\n",
                "-1\r\n",
                "1\r\nab\r\n",
                "1\r\na\n",
                "1111111111111111\r\n",
                "1;\u0000\r\n",
                "0\r\nA: \u0000\r\n\r\n",
                "0\r\nA: b\n\r\n"
            })
    void malformedChunkIsRefused(String chunk) {
        assertRefused(CHUNKED + chunk, RequestRefusal.MALFORMED_BODY);
    }

    @ParameterizedTest
    @CsvSource({"HTTP/2.0", "HTTP/1.2", "http/1.1", "HTTP/1.1x"})
    void otherVersionIsRefused(String version) {
        assertRefused("GET /a " + version + "\r\n\r\n", RequestRefusal.UNKNOWN_VERSION);
    }

    /** Guards against lines that are kept until they end. */
    @Test
    void partsWithoutEndAreRefused() {
        assertRefused("GET /" + "x".repeat(5_000), RequestRefusal.REQUEST_LINE_TOO_LONG);
        assertRefused(GET + "a: " + "x".repeat(20_000), RequestRefusal.HEAD_TOO_LARGE);
        assertRefused(GET + "a:\r\n".repeat(5_000), RequestRefusal.HEAD_TOO_LARGE);
        assertRefused("\r\n".repeat(1_000), RequestRefusal.MALFORMED_HEAD);
        assertRefused(CHUNKED + "1;" + "x".repeat(5_000), RequestRefusal.MALFORMED_BODY);
        assertRefused(CHUNKED + "0\r\n" + "a:\r\n".repeat(5_000), RequestRefusal.HEAD_TOO_LARGE);
    }

    /** Guards against limits that requests within the users' limits meet. */
    @Test
    void largestRequestsAreRead() throws Exception {
        String target = GET.replace("/a", "/" + "x".repeat(3_900));
        assertThat(read(target + "a:\r\n".repeat(4_095) + "\r\n", 1).size(), is(2));
        assertThat(read(GET + "a: " + "x".repeat(16_300) + "\r\n\r\n", 1).size(), is(2));
    }

    /** Guards against an unfinished head that takes more than its limit. */
    @Test
    void unfinishedHeadTakesBoundedMemory() throws Exception {
        RequestParser parser = new RequestParser();
        parser.limitFields(FIELD_BYTES);
        byte[] head = bytes(GET + "a:\r\n".repeat(4_000));
        RequestParser.Cursor cursor = new RequestParser.Cursor();
        for (int i = 0; i < head.length; i++) {
            parser.next(head, cursor.move(i, i + 1));
            assertThat(parser.keptBytes(), lessThanOrEqualTo(2 * FIELD_BYTES));
        }
    }

    private static void assertRefused(String text, RequestRefusal expected) {
        for (int size : new int[] {1, 7, text.length()}) {
            RefusedRequestException refused =
                    assertThrows(RefusedRequestException.class, () -> read(text, size));
            assertThat(refused.refusal(), is(expected));
        }
    }

    /** Reads a text in pieces; content that belongs together is one entry. */
    private static List<String> read(String text, int size) throws RefusedRequestException {
        RequestParser parser = new RequestParser();
        parser.limitFields(FIELD_BYTES);
        RequestParser.Cursor cursor = new RequestParser.Cursor();
        byte[] input = bytes(text);
        List<String> events = new ArrayList<>();
        for (int from = 0; from < input.length; from += size) {
            cursor.move(from, Math.min(input.length, from + size));
            while (cursor.hasMore()) {
                switch (parser.next(input, cursor)) {
                    case HEAD -> events.add("head " + parser.head().lines());
                    case CONTENT -> addContent(events, text, parser);
                    case END -> events.add("end");
                    default -> {}
                }
                if (parser.endsWithoutFurtherByte()) {
                    events.add("end");
                }
            }
        }
        return events;
    }

    private static void addContent(List<String> events, String text, RequestParser parser) {
        String content = text.substring(parser.contentStart(), parser.contentEnd());
        int last = events.size() - 1;
        if (events.get(last).startsWith("head")) {
            events.add(content);
        } else {
            events.set(last, events.get(last) + content);
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
