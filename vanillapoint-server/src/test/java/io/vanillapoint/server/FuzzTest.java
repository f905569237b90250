package io.vanillapoint.server;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.message.Heartbeat;
import io.vanillapoint.core.message.LeaseId;
import io.vanillapoint.core.message.Member;
import io.vanillapoint.core.message.MembershipUpdate;
import io.vanillapoint.core.message.PeerHello;
import io.vanillapoint.server.testing.Await;
import io.vanillapoint.server.testing.Gateway;
import io.vanillapoint.wire.PeerCodec;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Random and mutated input on each listener must not stop the VM from serving requests. */
class FuzzTest {
    private static final int ROUNDS = 300;
    private static final int MAX_BYTES = 600;

    private final Gateway gateway = new Gateway();
    private final Random random = new Random(20_261_203);

    @BeforeEach
    void startGateway() {
        gateway.upstream("a-s", "service", "read", request -> request.response().end("ok"));
        gateway.vm("a-1", "a").start();
    }

    @AfterEach
    void stopGateway() {
        gateway.close();
    }

    @Test
    void randomBytesOnEachListenerDoNotStopTheVm() throws IOException {
        int[] ports = {gateway.callers("a-1"), gateway.peers("a-1"), gateway.operators("a-1")};
        for (int i = 0; i < ROUNDS; i++) {
            byte[] bytes = new byte[1 + random.nextInt(MAX_BYTES)];
            random.nextBytes(bytes);
            send(ports[i % ports.length], bytes);
        }
        assertServes();
    }

    @Test
    void mutatedCallerRequestsDoNotStopTheVm() throws IOException {
        String request =
                "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                        + Gateway.KEY
                        + "\r\nContent-Length: 30\r\n\r\n"
                        + Gateway.chatBody("x", 1, false);
        for (int i = 0; i < ROUNDS; i++) {
            send(gateway.callers("a-1"), mutate(request.getBytes(StandardCharsets.US_ASCII)));
        }
        assertServes();
    }

    @Test
    void mutatedPeerFramesDoNotStopTheVm() throws IOException {
        PeerCodec codec = new PeerCodec(1 << 20);
        byte[] hello = frame(codec.encode(new PeerHello(new VmId("a-9"), 1, 1)));
        byte[] heartbeat =
                codec.encode(
                        new Heartbeat(
                                1,
                                1,
                                1,
                                false,
                                LeaseId.NONE,
                                1,
                                new MembershipUpdate(
                                        1, 0, List.of(new Member(new VmId("a-9"), 1)))));
        for (int i = 0; i < ROUNDS; i++) {
            byte[] bad = frame(mutate(heartbeat));
            Buffer all = Buffer.buffer(hello).appendBytes(bad);
            send(gateway.peers("a-1"), all.getBytes());
        }
        assertServes();
    }

    /** The caller leaves after each part of a request; nothing of it is left over. */
    @Test
    void requestCutAtEachByteDoesNotStopTheVm() throws IOException {
        byte[] request = chunkedRequest("").getBytes(StandardCharsets.US_ASCII);
        for (int length = 1; length <= request.length; length++) {
            send(gateway.callers("a-1"), Arrays.copyOf(request, length));
        }
        assertServes();
    }

    /** Two requests on one connection, split at each byte, get their two responses. */
    @Test
    void requestsSplitAtEachByteGetTheirResponses() throws IOException {
        byte[] requests =
                (chunkedRequest("") + chunkedRequest("Connection: close\r\n"))
                        .getBytes(StandardCharsets.US_ASCII);
        for (int length = 1; length < requests.length; length += 3) {
            try (Socket socket = new Socket(Await.HOST, gateway.callers("a-1"))) {
                socket.setTcpNoDelay(true);
                OutputStream out = socket.getOutputStream();
                out.write(requests, 0, length);
                out.flush();
                out.write(requests, length, requests.length - length);
                out.flush();
                String responses =
                        new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                int second = responses.indexOf("HTTP/1.1 200", 1);
                assertThat("split at " + length, responses, startsWith("HTTP/1.1 200"));
                assertThat("split at " + length, second, greaterThan(0));
            }
        }
        assertServes();
    }

    private static String chunkedRequest(String header) {
        return "POST /services/read/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                + Gateway.KEY
                + "\r\n"
                + header
                + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\nX-T: t\r\n\r\n";
    }

    private void assertServes() {
        for (int i = 0; i < 10; i++) {
            assertThat(gateway.call("a-1", "GET", "/services/read/x", "").body(), is("ok"));
        }
        Await.until(
                "no request is left running",
                () -> Await.result(gateway.daemon("a-1").status()).running() == 0);
    }

    private byte[] mutate(byte[] original) {
        byte[] bytes = original.clone();
        int changes = 1 + random.nextInt(8);
        for (int i = 0; i < changes; i++) {
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
        }
        return bytes;
    }

    private static byte[] frame(byte[] payload) {
        return Buffer.buffer()
                .appendInt(Long.BYTES + payload.length)
                .appendLong(1)
                .appendBytes(payload)
                .getBytes();
    }

    private static void send(int port, byte[] bytes) throws IOException {
        try (Socket socket = new Socket(Await.HOST, port)) {
            OutputStream out = socket.getOutputStream();
            out.write(bytes);
            out.flush();
        }
    }
}
