package io.vanillapoint.server.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.vanillapoint.server.testing.Await;
import io.vanillapoint.server.testing.CallerResponse;
import io.vanillapoint.server.testing.Gateway;
import io.vertx.core.Future;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** No API key reaches an upstream, and a revoked key is refused. */
class KeyTest {
    private static final Pattern CONTENT_LENGTH = Pattern.compile("(?i)content-length: (\\d+)");
    private static final String OTHER_KEY = "another-key";

    private final Gateway gateway = new Gateway();
    private final Queue<String> receivedRequests = new ConcurrentLinkedQueue<>();

    @AfterEach
    void stopGateway() {
        gateway.close();
    }

    @Test
    void apiKeyIsNotForwardedInHeadersOrQuery() {
        gateway.rawUpstream(
                "b-service",
                "service",
                "read",
                socket ->
                        socket.handler(
                                bytes -> {
                                    receivedRequests.add(bytes.toString());
                                    socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                                }));
        gateway.customers(Gateway.customer("c", Gateway.KEY, "\"a\":1,\"b\":1", 10_000, 100_000))
                .vm("a-1", "a")
                .vm("b-1", "b")
                .start();
        String[] headers = {
            "x-api-key", "cookie", "proxy-authorization", "x-request-id", "accept", "traceparent"
        };
        for (String header : headers) {
            for (String vm : new String[] {"a-1", "b-1"}) {
                CallerResponse response =
                        gateway.call(vm, "GET", "/services/read/x", "", header, Gateway.KEY);
                assertThat(response.status(), is(200));
            }
        }
        CallerResponse inQuery =
                gateway.call("b-1", "GET", "/services/read/x?k=" + Gateway.KEY, "");
        assertThat(inQuery.status(), is(400));
        assertThat(receivedRequests.size(), is(2 * headers.length));
        receivedRequests.forEach(request -> assertThat(request, not(containsString(Gateway.KEY))));
    }

    @Test
    void revokedKeyIsRefusedWhileTheVmRuns() {
        gateway.upstream("a-s", "service", "read", request -> request.response().end("ok"));
        gateway.vm("a-1", "a").start();
        assertThat(gateway.call("a-1", "GET", "/services/read/x", "").status(), is(200));
        revokeKey();
        Await.until(
                "the key is refused",
                () -> gateway.call("a-1", "GET", "/services/read/x", "").status() == 401);
    }

    @Test
    void revokedKeyIsRefusedOnAConnectionThatStaysOpen() throws IOException {
        gateway.upstream("a-s", "service", "read", request -> request.response().end("ok"));
        gateway.vm("a-1", "a").start();
        try (Socket socket = new Socket(Await.HOST, gateway.callers("a-1"))) {
            assertThat(statusOf(socket), is(200));
            revokeKey();
            Await.until(
                    "the key is refused",
                    () -> gateway.call("a-1", "GET", "/services/read/x", "").status() == 401);
            assertThat(statusOf(socket), is(401));
        }
    }

    /** The key is checked again when a queued request is dispatched. */
    @Test
    void queuedRequestIsRefusedWhenItsKeyIsRevoked() {
        CountDownLatch blocked = new CountDownLatch(1);
        gateway.upstream(
                "a-s",
                "service",
                "read",
                request -> {
                    receivedRequests.add(request.uri());
                    if (request.uri().equals("/first")) {
                        blocked.countDown();
                        gateway.vertx()
                                .setPeriodic(
                                        20,
                                        timer -> {
                                            if (receivedRequests.contains("go")) {
                                                gateway.vertx().cancelTimer(timer);
                                                request.response().end();
                                            }
                                        });
                    } else {
                        request.response().end();
                    }
                });
        gateway.flags("--max-running=1", "--queue-timeout-ms=30000").vm("a-1", "a").start();
        Future<CallerResponse> first = gateway.callAsync("a-1", "GET", "/services/read/first", "");
        Await.until("the first request runs", () -> blocked.getCount() == 0);
        Future<CallerResponse> second =
                gateway.callAsync("a-1", "GET", "/services/read/second", "");
        Await.until(
                "the second request is queued",
                () -> Await.result(gateway.daemon("a-1").status()).waiting() == 1);
        long before = Await.result(gateway.daemon("a-1").status()).configRevision();
        revokeKey();
        Await.until(
                "the revocation has taken effect",
                () -> Await.result(gateway.daemon("a-1").status()).configRevision() >= before + 4);
        receivedRequests.add("go");
        assertThat(Await.result(first).status(), is(200));
        assertThat(Await.result(second).status(), is(401));
        assertThat(receivedRequests.contains("/second"), is(false));
    }

    /** A VM that can't reach the platform learns of the revocation from its peer. */
    @Test
    void revocationReachesAVmCutOffFromThePlatform() {
        gateway.upstream("a-s", "service", "read", request -> request.response().end("ok"));
        gateway.vm("a-1", "a").vm("a-2", "a").start();
        gateway.cutFromPlatform("a-2");
        revokeKey();
        Await.until(
                "the VM without the platform refuses the key",
                () -> gateway.call("a-2", "GET", "/services/read/x", "").status() == 401);
    }

    /** Sends a request on a connection and reads the head and body of the response. */
    private static int statusOf(Socket socket) throws IOException {
        String request =
                "GET /services/read/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                        + Gateway.KEY
                        + "\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        String head = readHead(socket.getInputStream());
        Matcher length = CONTENT_LENGTH.matcher(head);
        assertThat(head, length.find(), is(true));
        socket.getInputStream().readNBytes(Integer.parseInt(length.group(1)));
        return Integer.parseInt(head.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length()));
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new AssertionError("the connection was closed after '" + head + "'");
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private void revokeKey() {
        gateway.customers(Gateway.customer("c", OTHER_KEY, "\"a\":1", 10_000, 100_000));
        gateway.publishAll();
    }
}
