package io.vanillapoint.server.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.api.model.Lifecycle;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.UpstreamKind;
import io.vanillapoint.api.model.Vm;
import io.vanillapoint.api.model.VmId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.api.plugin.RequestPlan;
import io.vanillapoint.core.message.ForwardCredit;
import io.vanillapoint.core.message.ForwardData;
import io.vanillapoint.core.message.ForwardEnd;
import io.vanillapoint.core.message.ForwardHead;
import io.vanillapoint.core.message.ForwardRequest;
import io.vanillapoint.core.message.HeaderField;
import io.vanillapoint.core.message.PeerHello;
import io.vanillapoint.core.message.PeerMessage;
import io.vanillapoint.core.message.VisitedPath;
import io.vanillapoint.server.event.HybridClock;
import io.vanillapoint.server.peer.FrameSocket;
import io.vanillapoint.server.settings.DaemonSettings.Timeouts;
import io.vanillapoint.wire.PeerCodec;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Forwarded requests against a VM that the test plays. */
class ForwardClientTest {
    private static final int PIECE_BYTES = 10;
    private static final int PIECES = 3;
    private static final int MAX_FRAME_BYTES = 100_000;
    private static final long WAIT_SECONDS = 10;

    private final Vertx vertx = Vertx.vertx();
    private final HybridClock clock = new HybridClock(System::currentTimeMillis);
    private final PeerCodec codec = new PeerCodec(MAX_FRAME_BYTES);
    private final AtomicLong credit = new AtomicLong();
    private final AtomicInteger openConnections = new AtomicInteger();

    @AfterEach
    void close() throws Exception {
        vertx.close().await(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void creditOfAllPiecesIsReturnedOnceTheReceiverTakesDataAgain() throws Exception {
        Vm vm = listen();
        FullSink sink = new FullSink();
        Promise<Void> ended = Promise.promise();
        vertx.runOnContext(
                ignored -> client().run(vm, request(), sink).completion().onComplete(ended));
        sink.received.future().await(WAIT_SECONDS, TimeUnit.SECONDS);
        vertx.runOnContext(ignored -> sink.drain());
        ended.future().await(WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(credit.get(), is((long) PIECES * PIECE_BYTES));
    }

    @Test
    void requestsThatStartAtTheSameTimeShareOneConnection() throws Exception {
        Vm vm = listen();
        Promise<Void> ended = Promise.promise();
        vertx.runOnContext(
                ignored -> {
                    ForwardClient client = client();
                    Future.all(
                                    client.run(vm, request(), new OpenSink()).completion(),
                                    client.run(vm, request(), new OpenSink()).completion())
                            .<Void>mapEmpty()
                            .onComplete(ended);
                });
        ended.future().await(WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(openConnections.get(), is(1));
    }

    private ForwardClient client() {
        PeerHello hello = new PeerHello(new VmId("here"), 1, PeerHello.PROTOCOL);
        Timeouts timeouts =
                new Timeouts(1_000, 1_000, 5_000, 1_000, 1_000, 5_000, 1_000, 1_000, 0, 1_000);
        return new ForwardClient(vertx, codec, hello, timeouts, (code, values) -> {}, clock);
    }

    private Vm listen() throws Exception {
        int port =
                vertx.createNetServer()
                        .connectHandler(this::serve)
                        .listen(0, "127.0.0.1")
                        .await(WAIT_SECONDS, TimeUnit.SECONDS)
                        .actualPort();
        Endpoint endpoint = new Endpoint("127.0.0.1", port);
        return new Vm(
                new VmId("there"),
                new RegionId("r"),
                new ZoneId("z"),
                endpoint,
                endpoint,
                endpoint,
                Lifecycle.LIVE);
    }

    /** Answers each request with a few pieces and ends it once all their credit is back. */
    private void serve(NetSocket socket) {
        openConnections.incrementAndGet();
        FrameSocket frames = new FrameSocket(socket, codec, (code, values) -> {}, clock);
        frames.closeHandler(openConnections::decrementAndGet);
        frames.receiver(message -> answer(frames, message));
    }

    private void answer(FrameSocket frames, PeerMessage message) {
        if (message instanceof ForwardRequest request) {
            frames.send(new ForwardHead(request.stream(), 200, List.of()));
            for (int i = 0; i < PIECES; i++) {
                frames.send(new ForwardData(request.stream(), new byte[PIECE_BYTES]));
            }
        } else if (message instanceof ForwardCredit returned) {
            credit.addAndGet(returned.bytes());
            vertx.setTimer(
                    50,
                    ignored ->
                            frames.send(new ForwardEnd(returned.stream(), PIECES * PIECE_BYTES)));
        }
    }

    private static RunRequest request() {
        RequestPlan plan =
                new RequestPlan(
                        UpstreamKind.MODEL, "m", "/", new byte[0], true, true, 1, "", false);
        return new RunRequest("r", null, null, plan, "POST", List.of(), VisitedPath.empty(), null);
    }

    /** Takes everything. */
    private static class OpenSink implements ResponseSink {
        @Override
        public void head(int status, List<HeaderField> headers) {}

        @Override
        public void data(Buffer part) {}

        @Override
        public boolean isFull() {
            return false;
        }

        @Override
        public void onDrain(Runnable handler) {}

        @Override
        public void end() {}

        @Override
        public void fail(VanillapointException error) {}

        @Override
        public void onClose(Runnable handler) {}
    }

    /** Takes nothing more until it is drained; keeps one drain handler, as connections do. */
    private static final class FullSink extends OpenSink {
        private final Promise<Void> received = Promise.promise();
        private Runnable drainHandler = () -> {};
        private int pieces;
        private boolean drained;

        @Override
        public void data(Buffer part) {
            if (++pieces == PIECES) {
                received.complete();
            }
        }

        @Override
        public boolean isFull() {
            return !drained;
        }

        @Override
        public void onDrain(Runnable handler) {
            drainHandler = handler;
        }

        private void drain() {
            drained = true;
            drainHandler.run();
        }
    }
}
