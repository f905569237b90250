package io.vanillapoint.server;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

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
