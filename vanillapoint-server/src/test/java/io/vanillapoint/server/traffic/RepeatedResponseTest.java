package io.vanillapoint.server.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.server.testing.CallerResponse;
import io.vanillapoint.server.testing.Gateway;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Upstreams that write a response twice: it never reaches the caller of another request. */
class RepeatedResponseTest {
    private static final int REQUESTS = 20;
    private static final long COPY_DELAY_MILLIS = 2;

    private final Vertx vertx = Vertx.vertx();
    private final Gateway gateway = new Gateway();
    private CopyTime copyTime = CopyTime.SAME_SEGMENT;

    @BeforeEach
    void start() {
        gateway.rawUpstream("a-one", "service", "read", this::serve);
        gateway.vm("a-1", "a").start();
    }

    @AfterEach
    void stop() throws Exception {
        gateway.close();
        vertx.close().await(10, TimeUnit.SECONDS);
    }

    @Test
    void copyInTheSameSegmentIsDropped() {
        assertOwnResponses();
    }

    @Test
    void copyBeforeTheNextRequestIsDropped() {
        copyTime = CopyTime.BEFORE_THE_NEXT_REQUEST;
        assertOwnResponses();
    }

    /** The copy leaves when the next request has arrived on the connection, if it is kept. */
    @Test
    void copyAfterTheNextRequestIsNotItsResponse() {
        copyTime = CopyTime.AFTER_THE_NEXT_REQUEST;
        assertOwnResponses();
    }

    private void assertOwnResponses() {
        for (int i = 0; i < REQUESTS; i++) {
            String body = "caller-" + i + ";";
            CallerResponse response = gateway.call("a-1", "POST", "/services/read/x", body);
            assertThat(response.body(), is(body));
        }
    }

    /** Responds to each request with its body, up to the semicolon at its end. */
    private void serve(NetSocket socket) {
        Buffer received = Buffer.buffer();
        Buffer previous = Buffer.buffer();
        socket.handler(
                data -> {
                    received.appendBuffer(data);
                    String text = received.toString();
                    if (text.endsWith(";")) {
                        Buffer response = response(text.substring(text.lastIndexOf("caller-")));
                        respond(socket, previous, response);
                        previous.appendBuffer(response);
                    }
                });
    }

    private void respond(NetSocket socket, Buffer previous, Buffer response) {
        switch (copyTime) {
            case SAME_SEGMENT -> socket.write(response.copy().appendBuffer(response));
            case AFTER_THE_NEXT_REQUEST -> socket.write(previous.copy().appendBuffer(response));
            case BEFORE_THE_NEXT_REQUEST -> {
                socket.write(response);
                vertx.setTimer(COPY_DELAY_MILLIS, ignored -> socket.write(response));
            }
        }
    }

    private static Buffer response(String body) {
        return Buffer.buffer(
                "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** When the upstream writes the copy of a response. */
    private enum CopyTime {
        SAME_SEGMENT,
        BEFORE_THE_NEXT_REQUEST,
        AFTER_THE_NEXT_REQUEST
    }
}
