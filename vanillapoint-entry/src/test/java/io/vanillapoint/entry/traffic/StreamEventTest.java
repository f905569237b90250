package io.vanillapoint.entry.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StreamEventTest {
    private static final int EVENT_BYTES = 200 * 1_024;

    /** Processor time that the same number of bytes may take, whatever they say. */
    private static final int LARGEST_RATIO = 100;

    private static final int READINGS = 3;

    /**
     * Guards against one event that keeps the event loop busy for longer than its size explains.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK",
                "HTTP/1.1 200 OK\r",
                "HTTP/1.1 200 OK\n:",
                "HTTP/1.",
                "H",
                "id:",
                "id: 1\n",
                "\r"
            })
    void repeatedTextCostsAsMuchAsOrdinaryText(String text) {
        long ordinary = processorNanos(event("data: one two three\n"));
        assertThat(processorNanos(event(text)), is(lessThan(LARGEST_RATIO * ordinary)));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nServer: a\r\n",
                "HTTP/1.0 503\nServer: a\n",
                "data: a HTTP/1.1 200 OK\nServer: a\n",
                "HTTP/1.1 200 HTTP/1.1 200 OK\nServer: a\n",
                "HTTP/1.1 200 OK\ndata: a\nHTTP/1.1 200 OK\nServer: a\n",
                "HTTP/1.1 200 OK\n\rServer: a",
                "HTTP/1.1 200 OK\n",
            })
    void headOfAnotherResponseIsFound(String text) {
        assertThat(read(text).responseHead(), is(true));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "data: HTTP/1.1 200 OK\n\n",
                "data: HTTP/1.1 200 OK\r\n\r\n",
                "data: HTTP/1.1 200 OK\ndata: a\n",
                "data: HTTP/1.1 200 OK\n: a\n",
                "data: HTTP/1.1 200 OK\nid: 1\n",
                "data: HTTP/1.1 200 OK",
                "data: HTTP/1.1 200 OK\rServer: a",
                "data: HTTP/1.1 20",
                "data: HTTP/1.2 200 OK\nServer: a\n",
                "data: HTTP/1.1 2x0 OK\nServer: a\n",
            })
    void otherTextIsNoHead(String text) {
        assertThat(read(text).responseHead(), is(false));
    }

    @Test
    void fieldsOfAnEventAreRead() {
        StreamEvent event = read("id: 12\ndata: a\n\n");
        assertThat(event, is(new StreamEvent(16, 12, false, true, true, false)));
    }

    private static byte[] event(String text) {
        return (text.repeat(EVENT_BYTES / text.length()) + "\n\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private static StreamEvent read(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        return StreamEvent.read(bytes, 0, bytes.length);
    }

    /** Least of some readings, since the first ones include the compiler's. */
    private static long processorNanos(byte[] event) {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long least = Long.MAX_VALUE;
        for (int i = 0; i < READINGS; i++) {
            long start = threads.getCurrentThreadCpuTime();
            StreamEvent.read(event, 0, event.length);
            least = Math.min(least, threads.getCurrentThreadCpuTime() - start);
        }
        return least;
    }
}
