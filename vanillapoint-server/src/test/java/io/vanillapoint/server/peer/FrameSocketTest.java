package io.vanillapoint.server.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.message.PeerHello;
import io.vanillapoint.core.message.PeerMessage;
import io.vanillapoint.core.message.Settle;
import io.vanillapoint.server.event.HybridClock;
import io.vanillapoint.server.testing.Await;
import io.vanillapoint.wire.PeerCodec;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Frames whose handling fails, and frames that are cut, merged, repeated or reordered. */
class FrameSocketTest {
    private static final long FAULTY_ID = 13;
    private static final long OVERFLOWING_ID = 14;
    private static final int FRAMES = 40;

    private final Vertx vertx = Vertx.vertx();
    private final PeerCodec codec = new PeerCodec(1 << 16);
    private final HybridClock clock = new HybridClock(System::currentTimeMillis);
    private final List<Long> received = new CopyOnWriteArrayList<>();
    private final List<EventCode> events = new CopyOnWriteArrayList<>();
    private NetSocket client;

    @BeforeEach
    void connect() {
        NetServer server =
                Await.result(
                        vertx.createNetServer()
                                .connectHandler(
                                        socket ->
                                                new FrameSocket(
                                                                socket,
                                                                codec,
                                                                (code, values) -> events.add(code),
                                                                clock)
                                                        .receiver(this::onMessage))
                                .listen(0, Await.HOST));
        client = Await.result(vertx.createNetClient().connect(server.actualPort(), Await.HOST));
    }

    @AfterEach
    void close() {
        Await.result(vertx.close());
    }

    @ParameterizedTest
    @ValueSource(longs = {FAULTY_ID, OVERFLOWING_ID})
    void messageWhoseHandlingFailsIsLoggedAndTheNextIsHandled(long id) {
        Buffer frames = frame(new Settle(1, 1));
        frames.appendBuffer(frame(new Settle(id, 1)));
        frames.appendBuffer(frame(new Settle(2, 1)));
        client.write(frames);
        Await.until("the last message is handled", () -> received.contains(2L));
        assertThat(received, contains(1L, 2L));
        assertThat(events, contains(EventCode.INTERNAL_ERROR));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void framesCutAnywhereArriveAsTheyWereSent(int seed) {
        Random random = new Random(seed);
        List<Long> ids = new ArrayList<>();
        for (int i = 0; i < FRAMES; i++) {
            ids.add((long) 100 + random.nextInt(20));
        }
        Collections.shuffle(ids, random);
        ids.add(1_000L);
        Buffer all = Buffer.buffer();
        ids.forEach(id -> all.appendBuffer(frame(new Settle(id, 1))));
        int sent = 0;
        while (sent < all.length()) {
            int end = Math.min(all.length(), sent + 1 + random.nextInt(40));
            Await.result(client.write(all.getBuffer(sent, end)));
            sent = end;
        }
        Await.until("the last message is handled", () -> received.contains(1_000L));
        assertThat(received, contains(ids.toArray(new Long[0])));
    }

    @Test
    void frameSentByteByByteArrives() {
        byte[] whole = frame(new PeerHello(new VmId("a-9"), 1, PeerHello.PROTOCOL)).getBytes();
        client.write(frame(new Settle(1, 1)));
        for (int length = 0; length < whole.length; length++) {
            client.write(Buffer.buffer(whole).getBuffer(length, length + 1));
        }
        client.write(frame(new Settle(2, 1)));
        Await.until("the last message is handled", () -> received.contains(2L));
        assertThat(received, contains(1L, -1L, 2L));
    }

    private void onMessage(PeerMessage message) {
        if (!(message instanceof Settle settle)) {
            received.add(-1L);
            return;
        }
        if (settle.id() == FAULTY_ID) {
            throw new IllegalStateException("faulty message");
        }
        if (settle.id() == OVERFLOWING_ID) {
            throw new StackOverflowError();
        }
        received.add(settle.id());
    }

    private Buffer frame(PeerMessage message) {
        byte[] payload = codec.encode(message);
        return Buffer.buffer()
                .appendInt(Long.BYTES + payload.length)
                .appendLong(clock.nextPacked())
                .appendBytes(payload);
    }
}
