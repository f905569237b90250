package io.vanillapoint.server.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.api.model.CustomerId;
import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.message.PeerHello;
import io.vanillapoint.core.message.PeerMessage;
import io.vanillapoint.core.message.ReservePurpose;
import io.vanillapoint.core.message.ReserveRequest;
import io.vanillapoint.core.message.Settle;
import io.vanillapoint.server.event.HybridClock;
import io.vanillapoint.server.testing.Await;
import io.vanillapoint.wire.PeerCodec;
import io.vertx.core.Vertx;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Connections for control messages that fall silent, and ones that only seem so. */
class ControlLinksTest {
    private static final long SILENCE_MILLIS = 100;
    private static final VmId PEER = new VmId("b-1");

    private final Vertx vertx = Vertx.vertx();
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger received = new AtomicInteger();
    private final Endpoint address = new Endpoint(Await.HOST, Await.freePort());
    private final HybridClock clock = new HybridClock(System::currentTimeMillis);
    private ControlLinks links;

    @BeforeEach
    void listen() {
        PeerCodec codec = new PeerCodec(1 << 16);
        Await.result(
                vertx.createNetServer()
                        .connectHandler(
                                socket -> {
                                    connections.incrementAndGet();
                                    FrameSocket frames =
                                            new FrameSocket(
                                                    socket, codec, (code, values) -> {}, clock);
                                    frames.receiver(message -> received.incrementAndGet());
                                })
                        .listen(address.port(), address.host()));
        links =
                new ControlLinks(
                        vertx,
                        codec,
                        new PeerHello(new VmId("a-1"), 1, PeerHello.PROTOCOL),
                        1_000,
                        SILENCE_MILLIS,
                        (code, values) -> {},
                        clock,
                        (vm, message) -> {},
                        bytes -> {});
    }

    @AfterEach
    void close() {
        Await.result(vertx.close());
    }

    /** Settlements have no answer; a link that carried nothing else is not dead. */
    @Test
    void messagesWithoutAnswerDoNotMakeALinkLookDead() {
        sendAndWait(new Settle(1, 1));
        sendAndWait(new Settle(2, 1));
        sendAndWait(new Settle(3, 1));
        assertThat(connections.get(), is(1));
        assertThat(links.isReachable(PEER), is(true));
    }

    @Test
    void linkWithoutAnswersIsReplaced() {
        sendAndWait(new ReserveRequest(1, new CustomerId("c"), 1, ReservePurpose.REQUEST));
        sendAndWait(new ReserveRequest(2, new CustomerId("c"), 1, ReservePurpose.REQUEST));
        assertThat(connections.get(), is(2));
    }

    /** Nothing else may tell that a VM is back, so that it is worth another try after a while. */
    @Test
    void vmThatCouldNotBeReachedIsTriedAgain() {
        VmId dead = new VmId("b-2");
        Endpoint nowhere = new Endpoint(Await.HOST, Await.freePort());
        vertx.runOnContext(nothing -> links.send(dead, nowhere, new Settle(1, 1)));
        Await.until("the failure is noticed", () -> !links.isReachable(dead));
        Await.until("it is worth another try", () -> links.isReachable(dead));
    }

    /** Sends, waits for the arrival and then for longer than the silence. */
    private void sendAndWait(PeerMessage message) {
        int before = received.get();
        vertx.runOnContext(nothing -> links.send(PEER, address, message));
        Await.until("the message arrives", () -> received.get() > before);
        long end = System.nanoTime() + 3 * SILENCE_MILLIS * 1_000_000;
        Await.until("time passes", () -> System.nanoTime() > end);
    }
}
