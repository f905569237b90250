package io.vanillapoint.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Connections on which requests arrive: their order, their limits and their time. */
class InboundConnectionsTest {
    private static final String HOST = "127.0.0.1";
    private static final String GET = "GET /%s HTTP/1.1\r\nHost: a\r\n\r\n";
    private static final int SILENCE_MILLIS = 300;
    private static final int MAX_CONNECTIONS = 4;
    private static final long WAIT_SECONDS = 10;

    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private final List<HttpServerRequest> held = new CopyOnWriteArrayList<>();
    private final List<Socket> sockets = new ArrayList<>();
    private final RecordingListener listener = new RecordingListener();
    private InboundConnections connections;
    private int port;

    @AfterEach
    void stop() throws Exception {
        for (Socket socket : sockets) {
            socket.close();
        }
        vertx.close().await(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Guards against pipelines that take their objects all at once. */
    @Test
    void nextRequestIsReadWhenTheResponseBeforeItHasBeenWritten() throws Exception {
        listen(1_000_000);
        Socket client = connect();
        send(client, GET.formatted("hold") + GET.formatted("b") + GET.formatted("c"));
        assertThat(receive(client), is(""));
        assertThat(requests, is(List.of("/hold")));
        onLoop(() -> held.get(0).response().end("held"));
        assertThat(receive(client), endsWith("answer to /c"));
        assertThat(requests, is(List.of("/hold", "/b", "/c")));
    }

    @Test
    void chunksOfOneReadArriveAsOne() throws Exception {
        listen(1_000_000);
        Socket client = connect();
        String chunks = "1\r\nx\r\n".repeat(100) + "0\r\nT: u\r\n\r\n";
        send(client, "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks);
        assertThat(receive(client), endsWith("answer to /a" + "x".repeat(100)));
    }

    /** Guards against a reservation that is never released. */
    @Test
    void memoryOfHeadsIsReleased() throws Exception {
        listen(1_000_000);
        Socket client = connect();
        for (int i = 0; i < 1_500; i++) {
            send(client, GET.formatted("a"));
            readResponse(client);
        }
        connect().close();
        Socket unfinished = connect();
        send(unfinished, "GET /a HTTP/1.1\r\nA: b");
        assertThat(receive(unfinished), is(""));
        unfinished.close();
        Socket refused = connect();
        send(refused, "GET /a HTTP/9.9\r\n\r\n");
        assertThat(receive(refused), startsWith("HTTP/1.1 505"));
        refused.close();
        await(() -> onLoop(() -> connections.heldBytes()) == 0);
    }

    /** Guards against heads of legal size whose objects fill the memory. */
    @Test
    void headThatDoesNotFitIsRefusedAndUsualOnesAreRead() throws Exception {
        listen(1_000_000);
        String large = "GET /hold HTTP/1.1\r\n" + "a:\r\n".repeat(2_000) + "\r\n";
        Socket first = connect();
        send(first, large);
        Socket second = connect();
        send(second, large);
        assertThat(
                receive(second),
                startsWith(
                        "HTTP/1.1 503 Service Unavailable\r\n"
                                + "content-type: application/json\r\nconnection: close\r\n"
                                + "Retry-After: 1\r\n"));
        assertThat(requests, is(List.of("/hold")));
        Socket usual = connect();
        send(usual, GET.formatted("a"));
        assertThat(receive(usual), endsWith("answer to /a"));
        assertThat(listener.events, is(List.of("refused test memory_full")));
    }

    /** Guards against unfinished heads that keep others out. */
    @Test
    void unfinishedHeadsYieldToUsualOnes() throws Exception {
        listen(32 * 1_024);
        String unfinished = "GET /a HTTP/1.1\r\na: " + "x".repeat(11_000);
        for (int i = 0; i < 3; i++) {
            send(connect(), unfinished);
        }
        Socket usual = connect();
        for (int i = 0; i < 3; i++) {
            send(usual, GET.formatted("a"));
            assertThat(receive(usual), endsWith("answer to /a"));
        }
    }

    @Test
    void silentConnectionIsReplacedByANewOne() throws Exception {
        listen(1_000_000);
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            silent.add(connect());
        }
        await(() -> onLoop(() -> connections.count()) == MAX_CONNECTIONS);
        Socket client = connect();
        send(client, GET.formatted("a"));
        assertThat(receive(client), endsWith("answer to /a"));
        assertThat(silent.get(0).getInputStream().read(), is(-1));
        assertThat(listener.events, is(List.of("closed test replaced")));
    }

    @Test
    void connectionWhoseRequestIsInProgressIsNotReplaced() throws Exception {
        listen(1_000_000);
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            send(connect(), GET.formatted("hold"));
        }
        await(() -> held.size() == MAX_CONNECTIONS);
        Socket client = connect();
        assertThat(client.getInputStream().read(), is(-1));
        assertThat(listener.events, is(List.of("closed test too_many_connections")));
        assertThat(onLoop(() -> connections.count()), is(MAX_CONNECTIONS));
    }

    @Test
    void headThatDoesNotEndIsRefusedInTime() throws Exception {
        listen(1_000_000);
        Socket client = connect();
        send(client, "GET /a HTTP/1.1\r\nA: b");
        assertThat(receive(client), is(""));
        pass(4);
        assertThat(receive(client), is(""));
        pass(2);
        assertThat(receive(client), startsWith("HTTP/1.1 408 "));
        pass(5);
        assertThat(
                listener.events,
                is(List.of("refused test head_too_slow", "closed test discarding")));
    }

    /** Guards against a close that clients within the limits meet. */
    @Test
    void idleConnectionIsClosedAfterTheIdleTimeOnly() throws Exception {
        listen(1_000_000);
        Socket silent = connect();
        Socket kept = connect();
        send(kept, GET.formatted("a"));
        assertThat(receive(kept), endsWith("answer to /a"));
        pass(8);
        send(kept, GET.formatted("b"));
        assertThat(receive(kept), endsWith("answer to /b"));
        pass(5);
        assertThat(silent.getInputStream().read(), is(-1));
        send(kept, GET.formatted("c"));
        assertThat(receive(kept), endsWith("answer to /c"));
        pass(13);
        assertThat(kept.getInputStream().read(), is(-1));
    }

    /** Guards against a head whose time counts from long before its first byte. */
    @Test
    void headHasItsTimeAlthoughTheSweepBeforeWasLongAgo() throws Exception {
        listen(1_000_000);
        sweep(1_000);
        Socket client = connect();
        send(client, "GET /a HTTP/1.1\r\n");
        assertThat(receive(client), is(""));
        sweep(2_900);
        sweep(4_000);
        sweep(5_200);
        assertThat(receive(client), is(""));
        send(client, "\r\n");
        assertThat(receive(client), endsWith("answer to /a"));
    }

    /** Guards against connections that are closed because the event loop was late. */
    @Test
    void timeInWhichTheLoopWasBehindIsNotCounted() throws Exception {
        listen(1_000_000);
        Socket silent = connect();
        await(() -> onLoop(() -> connections.count()) == 1);
        sweep(1_000_000);
        send(silent, GET.formatted("a"));
        assertThat(receive(silent), endsWith("answer to /a"));
    }

    @Test
    void responseThatIsNotReadIsGivenUp() throws Exception {
        listen(1_000_000);
        Socket client = connect();
        send(client, GET.formatted("large"));
        await(() -> requests.contains("/large"));
        pass(14);
        await(() -> onLoop(() -> connections.count()) == 0);
        assertThat(listener.events, hasItem("closed test response_not_read"));
    }

    /** Guards against a refusal that is lost to a reset while its client still sends. */
    @Test
    void refusalIsReadWholeWhileTheRequestIsBeingSent() throws Exception {
        listen(1_000_000);
        Socket client = connect();
        send(client, "GET /a HTTP/1.1\r\na: " + "x".repeat(500_000));
        String response = receive(client);
        assertThat(response, startsWith("HTTP/1.1 431 "));
        assertThat(response, containsString("\r\nconnection: close\r\n"));
        assertThat(response, endsWith("\r\n\r\nhead_too_large"));
    }

    /** Guards against a refusal that is left out because an earlier request was answered. */
    @Test
    void refusalOfAFurtherRequestOfAConnectionIsSent() throws Exception {
        listen(1_000_000);
        Socket client = connect();
        send(client, GET.formatted("a"));
        assertThat(receive(client), endsWith("answer to /a"));
        send(client, "GET /b HTTP/1.1\r\na: " + "x".repeat(20_000));
        assertThat(receive(client), startsWith("HTTP/1.1 431 "));
    }

    private void listen(long headMemoryBytes) throws Exception {
        CompletableFuture<HttpServer> listening = new CompletableFuture<>();
        context.runOnContext(
                ignored -> {
                    connections =
                            new InboundConnections(
                                    headMemoryBytes,
                                    () -> new InboundLimits(16_384, 3_000, 10_000),
                                    listener);
                    InboundPort inbound =
                            connections.port("test", MAX_CONNECTIONS, 1, InboundPort.Idle.CLOSED);
                    vertx.createHttpServer(
                                    new HttpServerOptions()
                                            .setHttp2ClearTextEnabled(false)
                                            .setMaxHeaderSize(64 * 1_024))
                            .connectionHandler(inbound::guard)
                            .requestHandler(this::answer)
                            .listen(0, HOST)
                            .onSuccess(listening::complete)
                            .onFailure(listening::completeExceptionally);
                });
        port = listening.get(WAIT_SECONDS, TimeUnit.SECONDS).actualPort();
    }

    private void answer(HttpServerRequest request) {
        requests.add(request.path());
        Buffer body = Buffer.buffer("answer to " + request.path());
        request.handler(body::appendBuffer);
        request.endHandler(
                ended -> {
                    if (request.path().equals("/hold")) {
                        held.add(request);
                    } else if (request.path().equals("/large")) {
                        request.response().end("x".repeat(20_000_000));
                    } else {
                        request.response().end(body);
                    }
                });
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(HOST, port);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
        sockets.add(socket);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        OutputStream output = socket.getOutputStream();
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    /** Receives until nothing more comes for a moment, or the connection ends. */
    private static String receive(Socket socket) throws IOException {
        StringBuilder received = new StringBuilder();
        byte[] buffer = new byte[65_536];
        socket.setSoTimeout(SILENCE_MILLIS);
        try {
            int count = socket.getInputStream().read(buffer);
            while (count >= 0) {
                received.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
                count = socket.getInputStream().read(buffer);
            }
        } catch (SocketTimeoutException e) {
            // Nothing more for now.
        } catch (SocketException e) {
            received.append("<reset>");
        }
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
        return received.toString();
    }

    private static void readResponse(Socket socket) throws IOException {
        StringBuilder received = new StringBuilder();
        while (!received.toString().endsWith("answer to /a")) {
            received.append((char) socket.getInputStream().read());
        }
    }

    /** Lets seconds pass for the limits of time, one after the other. */
    private void pass(int seconds) {
        for (int i = 0; i < seconds; i++) {
            sweep(listener.clockMillis + 1_000);
        }
    }

    private void sweep(long nowMillis) {
        listener.clockMillis = nowMillis;
        onLoop(
                () -> {
                    connections.sweep(nowMillis);
                    return null;
                });
    }

    private <T> T onLoop(Supplier<T> action) {
        CompletableFuture<T> result = new CompletableFuture<>();
        context.runOnContext(ignored -> result.complete(action.get()));
        return result.join();
    }

    private static void await(Supplier<Boolean> condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!condition.get()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("condition did not hold in time");
            }
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private static final class RecordingListener implements InboundListener {
        private final List<String> events = new CopyOnWriteArrayList<>();
        private volatile long clockMillis;

        @Override
        public String body(RequestRefusal refusal) {
            return refusal.reason();
        }

        @Override
        public String retryAfter() {
            return "1";
        }

        @Override
        public void refused(String port, RequestRefusal refusal) {
            events.add("refused " + port + " " + refusal.reason());
        }

        @Override
        public void closed(String port, String reason) {
            events.add("closed " + port + " " + reason);
        }
    }
}
