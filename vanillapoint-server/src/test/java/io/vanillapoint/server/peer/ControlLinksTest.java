package io.vanillapoint.server.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
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
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Replacement of unresponsive control connections, and retries of unreachable VMs. */
class ControlLinksTest {
    private static final long SILENCE_MILLIS = 100;
    private static final VmId PEER = new VmId("b-1");

    private final Vertx vertx = Vertx.vertx();
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger received = new AtomicInteger();
    private final List<Long> settledIds = new CopyOnWriteArrayList<>();
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
                                    frames.receiver(this::onMessage);
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

    private void onMessage(PeerMessage message) {
        if (message instanceof Settle settle) {
            settledIds.add(settle.id());
        }
        received.incrementAndGet();
    }

    @AfterEach
    void close() {
        Await.result(vertx.close());
    }

    /**
     * A settlement expects no reply, so a link that carried only settlements must not be replaced.
     */
    @Test
    void messagesThatExpectNoReplyDoNotCauseLinkReplacement() {
        sendAndWait(new Settle(1, 1));
        sendAndWait(new Settle(2, 1));
        sendAndWait(new Settle(3, 1));
        assertThat(connections.get(), is(1));
        assertThat(links.isReachable(PEER), is(true));
    }

    @Test
    void linkWithoutRepliesIsReplaced() {
        sendAndWait(new ReserveRequest(1, new CustomerId("c"), 1, ReservePurpose.REQUEST));
        sendAndWait(new ReserveRequest(2, new CustomerId("c"), 1, ReservePurpose.REQUEST));
        assertThat(connections.get(), is(2));
    }

    /**
     * A VM whose connection failed becomes reachable again after a delay, since a new attempt may
     * be the only way to learn that it is back.
     */
    @Test
    void unreachableVmIsRetriedAfterADelay() {
        VmId dead = new VmId("b-2");
        Endpoint nowhere = new Endpoint(Await.HOST, Await.freePort());
        vertx.runOnContext(ignored -> links.send(dead, nowhere, new Settle(1, 1)));
        Await.until("the VM counts as unreachable", () -> !links.isReachable(dead));
        Await.until("the VM counts as reachable again", () -> links.isReachable(dead));
    }

    @Test
    void messagesSentWhileTheConnectionIsOpenedArriveInOrder() {
        vertx.runOnContext(
                ignored -> {
                    for (int id = 1; id <= 5; id++) {
                        links.send(PEER, address, new Settle(id, 1));
                    }
                });
        Await.until("the first message arrives", () -> settledIds.contains(1L));
        vertx.runOnContext(ignored -> links.send(PEER, address, new Settle(6, 1)));
        Await.until("the last message arrives", () -> settledIds.contains(6L));
        assertThat(settledIds, contains(1L, 2L, 3L, 4L, 5L, 6L));
        assertThat(connections.get(), is(1));
    }

    /** Sends a message, waits for its arrival and then for longer than the silence limit. */
    private void sendAndWait(PeerMessage message) {
        int before = received.get();
        vertx.runOnContext(ignored -> links.send(PEER, address, message));
        Await.until("the message arrives", () -> received.get() > before);
        long end = System.nanoTime() + 3 * SILENCE_MILLIS * 1_000_000;
        Await.until("the silence limit has passed", () -> System.nanoTime() > end);
    }
}
