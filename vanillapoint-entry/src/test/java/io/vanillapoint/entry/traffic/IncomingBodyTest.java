package io.vanillapoint.entry.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.core.memory.BodyMemoryBudget;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Bodies over real sockets; the response tells what became of them and the memory held. */
class IncomingBodyTest {
    private static final long WAIT_SECONDS = 10;
    private static final int MAX_BYTES = 1_000_000;
    private static final long TRANSFER_MILLIS = 300;

    /** A limit of 600 KB; an owner that is alone may hold 8/9 of 525 KB. */
    private static final long HEAP = 1_600_000;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final BodyMemoryBudget budget = new BodyMemoryBudget(HEAP);
    private final OpenResponses open = new OpenResponses();
    private Socket socket;

    @BeforeEach
    void start() throws Exception {
        int port =
                vertx.createHttpServer()
                        .requestHandler(this::handle)
                        .listen(0, "127.0.0.1")
                        .await(WAIT_SECONDS, TimeUnit.SECONDS)
                        .actualPort();
        socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
    }

    @AfterEach
    void close() throws Exception {
        socket.close();
        vertx.close().await(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Guards against a caller that never reads its refusal because its connection is reset. */
    @Test
    void connectionIsUsableAfterABodyThatDoesNotFit() throws Exception {
        sendHead("Content-Length: 800000");
        assertThat(response(), containsString("NO_MEMORY held 0"));
        send("x".repeat(800_000));
        sendHead("Content-Length: 3");
        send("abc");
        assertThat(response(), containsString("3 bytes, held 3"));
    }

    /** Guards against bodies that are read before there is memory for them. */
    @Test
    void declaredLengthIsReservedBeforeTheBodyArrives() throws Exception {
        sendHead("Content-Length: 400000");
        await(() -> budget.heldBytes() == 400_000);
    }

    /** Guards against memory that stays reserved for callers that have gone. */
    @Test
    void connectionThatClosesReleasesItsMemory() throws Exception {
        sendHead("Content-Length: 400000");
        await(() -> budget.heldBytes() > 0);
        socket.close();
        await(() -> budget.heldBytes() == 0);
        assertThat(open.count(), is(0));
    }

    /** Guards against memory that stays reserved for connections that have gone silent. */
    @Test
    void bodyThatDoesNotArriveInTimeIsRejected() throws Exception {
        sendHead("Content-Length: 400000");
        send("x");
        assertThat(response(), containsString("TOO_SLOW held 400000"));
        await(() -> budget.heldBytes() == 0);
    }

    @Test
    void chunkedBodyIsChargedTwice() throws Exception {
        sendHead("Transfer-Encoding: chunked");
        send("3\r\nabc\r\n0\r\n\r\n");
        assertThat(response(), containsString("3 bytes, held 6"));
    }

    @Test
    void chunkedBodyThatOutgrowsTheMemoryIsRejected() throws Exception {
        sendHead("Transfer-Encoding: chunked");
        send(Integer.toHexString(300_000) + "\r\n" + "x".repeat(300_000) + "\r\n0\r\n\r\n");
        assertThat(response(), containsString("NO_MEMORY"));
        await(() -> budget.heldBytes() == 0);
    }

    @Test
    void bodyThatExceedsItsLimitIsRejectedByItsDeclaredLength() throws Exception {
        sendHead("Content-Length: " + (MAX_BYTES + 1));
        assertThat(response(), containsString("TOO_LARGE held 0"));
    }

    private void handle(HttpServerRequest request) {
        BodyMemoryBudget.Reservation memory = budget.open("customer");
        CallerSink sink = new CallerSink(request, open, () -> false, new ResponseMemoryBudget());
        sink.onFinish(memory::release);
        IncomingBody.read(
                vertx,
                request,
                MAX_BYTES,
                memory,
                new IncomingBody.Listener() {
                    @Override
                    public void complete(Buffer body) {
                        answer(body.length() + " bytes, held " + budget.heldBytes());
                    }

                    @Override
                    public void rejected(IncomingBody.Rejection rejection) {
                        answer(rejection + " held " + budget.heldBytes());
                    }

                    @Override
                    public void failed(Throwable error) {
                        answer(error.toString());
                    }

                    private void answer(String text) {
                        sink.refuse(Refusal.notRun(text, 0));
                    }
                },
                TRANSFER_MILLIS);
    }

    private void sendHead(String header) throws IOException {
        send("POST / HTTP/1.1\r\nHost: a\r\n" + header + "\r\n\r\n");
    }

    private void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads up to the end of a JSON body. */
    private String response() throws IOException {
        InputStream input = socket.getInputStream();
        StringBuilder text = new StringBuilder();
        int next = input.read();
        while (next >= 0 && next != '}') {
            text.append((char) next);
            next = input.read();
        }
        return text.toString();
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertThat("condition held in time", System.nanoTime() < end, is(true));
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }
}
