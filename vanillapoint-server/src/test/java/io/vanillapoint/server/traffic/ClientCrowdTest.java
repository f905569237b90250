package io.vanillapoint.server.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vanillapoint.http.testing.ClientCrowd;
import io.vanillapoint.http.testing.ProcessUsage;
import io.vanillapoint.server.testing.Await;
import io.vanillapoint.server.testing.DaemonProcess;
import io.vanillapoint.server.testing.Gateway;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URL;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Clients that don't keep to the limits, or use them up, against a daemon with a small heap. Guards
 * against a process that ends, hangs, exceeds its memory or its descriptors, and against ordinary
 * callers who get no answer.
 */
class ClientCrowdTest {
    private static final int HEAP_MEGABYTES = 40;

    /** As the smallest entry VM of the users leaves it: 170 MB beside the heap. */
    private static final long MACHINE_MEGABYTES = HEAP_MEGABYTES + 170;

    private static final int DESCRIPTORS = 4_100;
    private static final int FEW_DESCRIPTORS = 600;

    /** As on entry VMs, 200 descriptors of a process are for files. */
    private static final int FILE_DESCRIPTORS = 200;

    /** Default of {@code --max-header-bytes}. */
    private static final int HEAD_BYTES = 16_384;

    private static final int CALL_MILLIS = 5_000;
    private static final long ANSWER_SECONDS = 15;
    private static final String SHORT_LINE = "a:\r\n";
    private static final String FIELDS =
            " HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + Gateway.KEY + "\r\n";
    private static final String GET = "GET /services/read/a" + FIELDS;
    private static final String CHAT = "POST /v1/chat/completions" + FIELDS;
    private static final String BODY_DUE = CHAT + "Content-Length: 9\r\n";
    private static final String CHUNKED = CHAT + "Transfer-Encoding: chunked\r\n\r\n";

    @TempDir private Path folder;
    private final Gateway gateway = new Gateway();
    private final List<ClientCrowd> crowds = new ArrayList<>();
    private DaemonProcess daemon;
    private ProcessUsage usage;
    private int descriptors;

    @BeforeEach
    void addUpstreams() {
        gateway.upstream("a-engine", "model", "m", HttpServerRequest::resume);
        gateway.upstream("a-s", "service", "read", request -> request.response().end("ok"));
        gateway.flags("--traffic-threads=1").vm("a-1", "a");
        gateway.publishAll();
    }

    @AfterEach
    void stop() {
        daemon.close();
        gateway.close();
        crowds.forEach(ClientCrowd::close);
    }

    @Test
    void headsOfShortLinesWhoseBodyIsDue() throws Exception {
        startDaemon(DESCRIPTORS);
        callers().sendOnce(200, filled(BODY_DUE));
        assertSurvives();
    }

    @Test
    void headsOfShortLinesThatWaitForAnUpstream() throws Exception {
        startDaemon(DESCRIPTORS);
        String body = Gateway.chatBody("hello", 1, false);
        String head = filled(CHAT + "Content-Length: " + body.length() + "\r\n");
        callers().sendOnce(200, head + body);
        assertSurvives();
    }

    @Test
    void headsOfShortLinesInPipelines() throws Exception {
        startDaemon(DESCRIPTORS);
        String body = Gateway.chatBody("hello", 1, false);
        String head = filled(CHAT + "Content-Length: " + body.length() + "\r\n");
        callers().sendOnce(20, (head + body).repeat(20));
        assertSurvives();
    }

    @Test
    void headsOfShortLinesThatStopShortOfTheirEnd() throws Exception {
        startDaemon(DESCRIPTORS);
        String head = filled(GET);
        String unfinished = head.substring(0, head.length() - 2);
        callers().sendOnce(150, unfinished);
        operators().sendOnce(150, unfinished);
        assertSurvives();
    }

    @Test
    void headsWithoutEndInShortLines() throws Exception {
        startDaemon(DESCRIPTORS);
        callers().sendWithoutEnd(200, GET, SHORT_LINE);
        assertSurvives();
    }

    @Test
    void emptyLinesWithoutEndBeforeRequests() throws Exception {
        startDaemon(DESCRIPTORS);
        callers().sendWithoutEnd(50, "", "\r\n");
        assertSurvives();
    }

    @Test
    void connectionsThatSayNothing() throws Exception {
        startDaemon(FEW_DESCRIPTORS);
        callers().connectOnly(400);
        operators().connectOnly(400);
        peers().connectOnly(400);
        assertSurvives();
    }

    @Test
    void trailersHeldOpen() throws Exception {
        startDaemon(DESCRIPTORS);
        callers().sendOnce(200, CHUNKED + "1\r\nx\r\n0\r\n" + SHORT_LINE.repeat(4_000));
        assertSurvives();
    }

    @Test
    void bodiesInChunksOfOneByte() throws Exception {
        startDaemon(DESCRIPTORS);
        callers().sendWithoutEnd(100, CHUNKED, "1\r\nx\r\n");
        assertSurvives();
    }

    @Test
    void largeBodiesThatAreDue() throws Exception {
        startDaemon(DESCRIPTORS);
        String head = CHAT + "Content-Length: 4000000\r\n\r\n";
        callers().sendOnce(100, head + "x".repeat(1_000_000));
        assertSurvives();
    }

    @Test
    void pipelinesOfDeniedRequests() throws Exception {
        startDaemon(DESCRIPTORS);
        callers().sendWithoutEnd(50, "", "GET /none HTTP/1.1\r\nHost: a\r\n\r\n");
        assertSurvives();
    }

    @Test
    void pipelinesWhoseAnswersAreNotRead() throws Exception {
        startDaemon(DESCRIPTORS);
        callers().withoutReading().sendWithoutEnd(50, "", "GET /none HTTP/1.1\r\nHost: a\r\n\r\n");
        assertSurvives();
    }

    private void startDaemon(int mostDescriptors) {
        descriptors = mostDescriptors;
        daemon =
                DaemonProcess.start(
                        gateway, "a-1", HEAP_MEGABYTES, descriptors, folder.resolve("a-1.log"));
        usage =
                new ProcessUsage(
                        daemon.pid(),
                        Await.HOST,
                        gateway.callers("a-1"),
                        gateway.operators("a-1"),
                        gateway.peers("a-1"));
        Await.until("an ordinary request is answered", this::answersAnOrdinaryRequest);
    }

    private ClientCrowd callers() {
        return crowd(gateway.callers("a-1"));
    }

    private ClientCrowd operators() {
        return crowd(gateway.operators("a-1"));
    }

    private ClientCrowd peers() {
        return crowd(gateway.peers("a-1"));
    }

    private ClientCrowd crowd(int port) {
        ClientCrowd crowd = new ClientCrowd(Await.HOST, port);
        crowds.add(crowd);
        return crowd;
    }

    private void assertSurvives() throws Exception {
        for (ClientCrowd crowd : crowds) {
            crowd.awaitSent();
        }
        assertAnswers("beside the crowd");
        crowds.forEach(ClientCrowd::close);
        crowds.clear();
        assertAnswers("after the crowd");
        long megabytes = usage.peakBytes() / (1_024 * 1_024);
        assertThat("megabytes", megabytes, lessThanOrEqualTo(MACHINE_MEGABYTES));
        assertThat(
                "sockets",
                usage.peakSockets(),
                lessThanOrEqualTo((long) descriptors - FILE_DESCRIPTORS));
    }

    private void assertAnswers(String moment) {
        Await.until(
                "an ordinary request is answered " + moment,
                ANSWER_SECONDS,
                () -> {
                    assertThat("process lives " + moment, daemon.isAlive(), is(true));
                    usage.sample();
                    return answersAnOrdinaryRequest();
                });
        usage.sample();
        assertThat("process lives " + moment, daemon.isAlive(), is(true));
    }

    /** Sends a request on a connection of its own. */
    private boolean answersAnOrdinaryRequest() {
        try {
            URL url = new URL("http", Await.HOST, gateway.callers("a-1"), "/services/read/a");
            HttpURLConnection connection = (HttpURLConnection) url.openConnection();
            connection.setConnectTimeout(CALL_MILLIS);
            connection.setReadTimeout(CALL_MILLIS);
            connection.setRequestProperty("Authorization", "Bearer " + Gateway.KEY);
            connection.setRequestProperty("Connection", "close");
            int status = connection.getResponseCode();
            connection.disconnect();
            return status == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Fills a head with short lines up to the limit, with the empty line at its end. */
    private static String filled(String head) {
        int lines = (HEAD_BYTES - head.length() - 2) / SHORT_LINE.length();
        return head + SHORT_LINE.repeat(lines) + "\r\n";
    }
}
