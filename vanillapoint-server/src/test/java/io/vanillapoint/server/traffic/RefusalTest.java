package io.vanillapoint.server.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;

import io.vanillapoint.server.testing.Await;
import io.vanillapoint.server.testing.CallerResponse;
import io.vanillapoint.server.testing.Gateway;
import io.vertx.core.Future;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;

/** Each refusal has its status and error code and reports that the request was not run. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class RefusalTest {
    private static final String CHAT = "/v1/chat/completions";
    private static final String OTHER_REGION_KEY = "key-of-a-customer-of-region-b";
    private static final String NO_READ_KEY = "key-of-a-customer-without-a-service";
    private static final String SMALL_BURST_KEY = "key-of-a-small-customer";

    private final Gateway gateway = new Gateway();
    private final AtomicInteger runs = new AtomicInteger();

    @BeforeAll
    void startGateway() {
        gateway.upstream(
                "a-engine",
                "model",
                "m",
                request -> {
                    runs.incrementAndGet();
                    request.body().onSuccess(body -> respondAfterDelay(request, body.toString()));
                });
        gateway.upstream("a-s", "service", "read", request -> request.response().end("ok"));
        gateway.customers(
                        Gateway.customer("c", Gateway.KEY, "\"a\":1", 10_000, 100_000),
                        Gateway.customer("o", OTHER_REGION_KEY, "\"b\":1", 10_000, 100_000),
                        Gateway.customer("s", SMALL_BURST_KEY, "\"a\":1", 1, 120),
                        Gateway.customer("n", NO_READ_KEY, "\"a\":1", 10_000, 100_000)
                                .replace("\"publish\",\"read\"", "\"publish\""))
                .flags(
                        "--max-body-bytes=5000",
                        "--max-running=2",
                        "--max-queue=1",
                        "--queue-timeout-ms=3000")
                .vm("a-1", "a")
                .start();
    }

    @AfterAll
    void stopGateway() {
        gateway.close();
    }

    @Test
    void unknownKeyIsRefused() {
        CallerResponse response =
                gateway.call("a-1", "POST", CHAT, "{}", "authorization", "Bearer nobody");
        assertRefused(response, 401, "unknown_key");
    }

    @Test
    void requestInARegionThatIsNotPermittedIsRefused() {
        CallerResponse response =
                gateway.call(
                        "a-1", "POST", CHAT, "{}", "authorization", "Bearer " + OTHER_REGION_KEY);
        assertRefused(response, 421, "region_not_permitted");
        assertThat(response.json().path("entries").isArray(), is(true));
    }

    /** The body is never sent, so a refusal proves that the decision does not depend on it. */
    @Test
    void regionIsCheckedBeforeTheBodyIsRead() throws IOException {
        try (Socket socket = new Socket(Await.HOST, gateway.callers("a-1"))) {
            String head =
                    "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                            + OTHER_REGION_KEY
                            + "\r\nContent-Length: 4000\r\n\r\n";
            OutputStream out = socket.getOutputStream();
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            out.flush();
            InputStream in = socket.getInputStream();
            String response = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            assertThat(response, containsString("HTTP/1.1 421"));
            assertThat(response, containsString("\"run\":\"not_run\""));
        }
    }

    @Test
    void serviceThatIsNotDeclaredIsRefused() {
        CallerResponse response = gateway.call("a-1", "GET", "/services/nothing/x", "");
        assertRefused(response, 404, "not_found");
    }

    @Test
    void serviceThatIsDeclaredButNotGrantedIsRefused() {
        CallerResponse response =
                gateway.call(
                        "a-1",
                        "GET",
                        "/services/read/x",
                        "",
                        "authorization",
                        "Bearer " + NO_READ_KEY);
        assertRefused(response, 403, "not_granted");
    }

    @Test
    void unknownModelIsRefusedWithItsPlace() {
        CallerResponse response =
                gateway.call("a-1", "POST", CHAT, "{\"model\":\"x\",\"messages\":[{}]}");
        assertRefused(response, 404, "not_found");
        assertThat(response.json().path("error").path("place").asText(), is("/model"));
    }

    @Test
    void malformedBodyIsRefusedWithItsPlace() {
        CallerResponse response = gateway.call("a-1", "POST", CHAT, "{\"model\":\n  oops}");
        assertRefused(response, 400, "bad_request");
        assertThat(response.json().path("error").path("place").asText(), containsString("body:2:"));
    }

    @Test
    void oversizedHeadersAreRefused() {
        CallerResponse response =
                gateway.call("a-1", "POST", CHAT, "", "x-large", "x".repeat(20_000));
        assertRefused(response, 431, "headers_too_large");
    }

    @Test
    void queuedRequestIsRefusedAfterTheQueueTimeout() {
        Future<CallerResponse> first = startSlowChat();
        Future<CallerResponse> second = startSlowChat();
        Await.until(
                "two requests are running",
                () -> Await.result(gateway.daemon("a-1").status()).running() == 2);
        assertRefused(Await.result(startChat()), 503, "queue_timeout");
        assertThat(Await.result(first).status(), is(200));
        assertThat(Await.result(second).status(), is(200));
    }

    @Test
    void oversizedBodyIsRefused() {
        CallerResponse response = gateway.call("a-1", "POST", CHAT, "x".repeat(5_001));
        assertRefused(response, 413, "body_too_large");
    }

    @Test
    void requestOverTheBurstIsRefused() {
        String body = Gateway.chatBody("x".repeat(400), 100, false);
        CallerResponse response =
                gateway.call(
                        "a-1", "POST", CHAT, body, "authorization", "Bearer " + SMALL_BURST_KEY);
        assertRefused(response, 422, "over_burst");
    }

    @Test
    void requestOverTheRateIsRefusedWithRetryAfter() {
        String body = Gateway.chatBody("x", 100, false);
        CallerResponse response =
                gateway.call(
                        "a-1", "POST", CHAT, body, "authorization", "Bearer " + SMALL_BURST_KEY);
        assertRefused(response, 429, "rate_exceeded");
        assertThat(response.headers().get("retry-after"), notNullValue());
        assertThat(
                response.json().path("error").path("retry_after_ms").asLong(), greaterThan(1_000L));
    }

    @Test
    void requestIsRefusedWhenTheQueueIsFull() {
        Future<CallerResponse> first = startChat();
        Future<CallerResponse> second = startChat();
        Await.until(
                "two requests are running",
                () -> Await.result(gateway.daemon("a-1").status()).running() == 2);
        Future<CallerResponse> third = startChat();
        Await.until(
                "one request is queued",
                () -> Await.result(gateway.daemon("a-1").status()).waiting() == 1);
        assertRefused(Await.result(startChat()), 503, "overloaded");
        assertThat(Await.result(first).status(), is(200));
        assertThat(Await.result(second).status(), is(200));
        assertThat(Await.result(third).status(), is(200));
    }

    @Test
    void apiKeyInTheBodyIsRefused() {
        String body = Gateway.chatBody("my key is " + Gateway.KEY, 10, false);
        assertRefused(gateway.call("a-1", "POST", CHAT, body), 400, "bad_request");
    }

    /** A request that runs for longer than the queue timeout. */
    private Future<CallerResponse> startSlowChat() {
        return gateway.callAsync("a-1", "POST", CHAT, Gateway.chatBody("slow", 10, false));
    }

    private Future<CallerResponse> startChat() {
        return gateway.callAsync("a-1", "POST", CHAT, Gateway.chatBody("hello", 10, false));
    }

    private void respondAfterDelay(HttpServerRequest request, String body) {
        long millis = body.contains("slow") ? 7_000 : 300;
        gateway.vertx().setTimer(millis, timer -> request.response().end("{}"));
    }

    private void assertRefused(CallerResponse response, int status, String code) {
        assertThat(response.body(), response.status(), is(status));
        assertThat(response.errorCode(), is(code));
        assertThat(response.runState(), is("not_run"));
    }
}
