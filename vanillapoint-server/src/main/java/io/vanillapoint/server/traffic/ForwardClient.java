package io.vanillapoint.server.traffic;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.RunState;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.event.EventSink;
import io.vanillapoint.api.model.Vm;
import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.message.ForwardCancel;
import io.vanillapoint.core.message.ForwardCredit;
import io.vanillapoint.core.message.ForwardData;
import io.vanillapoint.core.message.ForwardEnd;
import io.vanillapoint.core.message.ForwardFailure;
import io.vanillapoint.core.message.ForwardHead;
import io.vanillapoint.core.message.ForwardRequest;
import io.vanillapoint.core.message.PeerHello;
import io.vanillapoint.core.message.PeerMessage;
import io.vanillapoint.server.event.HybridClock;
import io.vanillapoint.server.peer.FrameSocket;
import io.vanillapoint.server.settings.DaemonSettings.Timeouts;
import io.vanillapoint.wire.PeerCodec;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Forwards requests to VMs of other regions. Requests to the same VM are multiplexed over one
 * connection as numbered streams. Confined to one event loop.
 *
 * <p>Invariant: a response is delivered only to the stream that it names, and is complete only
 * after an end message whose length matches the bytes received.
 */
final class ForwardClient {
    private final Vertx vertx;
    private final NetClient client;
    private final PeerCodec codec;
    private final PeerHello hello;
    private final Timeouts timeouts;
    private final EventSink events;
    private final HybridClock clock;
    private final Map<VmId, PeerLink> links = new HashMap<>();
    private final Map<VmId, Future<PeerLink>> connecting = new HashMap<>();

    ForwardClient(
            Vertx vertx,
            PeerCodec codec,
            PeerHello hello,
            Timeouts timeouts,
            EventSink events,
            HybridClock clock) {
        this.vertx = vertx;
        this.codec = codec;
        this.hello = hello;
        this.timeouts = timeouts;
        this.events = events;
        this.clock = clock;
        this.client =
                vertx.createNetClient(
                        new NetClientOptions()
                                .setConnectTimeout((int) timeouts.connectMillis())
                                .setTcpNoDelay(true));
    }

    /** Forwards a request to a VM and passes the response to a sink. */
    Attempt run(Vm vm, RunRequest request, ResponseSink sink) {
        Stream stream = new Stream(vm.id(), sink);
        connect(vm)
                .onComplete(
                        result -> {
                            if (result.succeeded()) {
                                stream.start(result.result(), request);
                            } else {
                                stream.fail(
                                        ErrorCode.UPSTREAM_UNREACHABLE,
                                        "VM " + vm.id() + " can't be reached",
                                        RunState.NOT_RUN);
                            }
                        });
        return stream;
    }

    private Future<PeerLink> connect(Vm vm) {
        PeerLink existing = links.get(vm.id());
        if (existing != null) {
            return Future.succeededFuture(existing);
        }
        Future<PeerLink> pending = connecting.get(vm.id());
        if (pending != null) {
            return pending;
        }
        Future<PeerLink> started =
                client.connect(vm.peers().port(), vm.peers().host())
                        .map(socket -> open(vm.id(), socket))
                        .onComplete(done -> connecting.remove(vm.id()));
        if (!started.isComplete()) {
            connecting.put(vm.id(), started);
        }
        return started;
    }

    private PeerLink open(VmId vm, NetSocket socket) {
        PeerLink link = new PeerLink(vm, socket);
        links.put(vm, link);
        return link;
    }

    /** Connection to one VM. */
    private final class PeerLink {
        private final VmId vm;
        private final FrameSocket socket;
        private final Map<Long, Stream> streams = new HashMap<>();
        private long nextStreamId = 1;

        private PeerLink(VmId vm, NetSocket connection) {
            this.vm = vm;
            this.socket = new FrameSocket(connection, codec, events, clock);
            socket.receiver(this::onMessage);
            socket.closeHandler(this::onClosed);
            socket.send(hello);
        }

        /** Stops opening streams on this connection and closes it after its last stream. */
        private void retire() {
            links.remove(vm, this);
            if (streams.isEmpty()) {
                socket.close();
            }
        }

        private void remove(long streamId) {
            streams.remove(streamId);
            if (streams.isEmpty() && links.get(vm) != this) {
                socket.close();
            }
        }

        private void onClosed() {
            links.remove(vm, this);
            for (Stream stream : new ArrayList<>(streams.values())) {
                stream.fail(
                        ErrorCode.UPSTREAM_FAILED,
                        "the connection to VM " + vm + " was lost",
                        stream.headReceived ? RunState.RAN : RunState.UNKNOWN);
            }
        }

        private void onMessage(PeerMessage message) {
            if (message instanceof ForwardHead head) {
                withStream(head.stream(), stream -> stream.onHead(head));
            } else if (message instanceof ForwardData data) {
                withStream(data.stream(), stream -> stream.onData(data));
            } else if (message instanceof ForwardEnd end) {
                withStream(end.stream(), stream -> stream.onEnd(end));
            } else if (message instanceof ForwardFailure failure) {
                withStream(failure.stream(), stream -> stream.onFailure(failure));
            }
        }

        private void withStream(long streamId, Consumer<Stream> action) {
            Stream stream = streams.get(streamId);
            if (stream != null) {
                action.accept(stream);
            }
        }
    }

    /** One forwarded request. */
    private final class Stream implements Attempt {
        private final VmId vm;
        private final ResponseSink sink;
        private final Promise<Void> completion = Promise.promise();
        private PeerLink link;
        private long streamId;
        private boolean headReceived;
        private boolean paused;
        private long receivedBytes;

        /** Bytes that were received and whose credit the other VM has not got back. */
        private long heldCredit;

        private long timer = -1;

        private Stream(VmId vm, ResponseSink sink) {
            this.vm = vm;
            this.sink = sink;
        }

        @Override
        public Future<Void> completion() {
            return completion.future();
        }

        @Override
        public void cancel() {
            fail(ErrorCode.UPSTREAM_FAILED, "cancelled", RunState.UNKNOWN);
        }

        private void start(PeerLink peerLink, RunRequest request) {
            if (completion.future().isComplete()) {
                return;
            }
            link = peerLink;
            streamId = peerLink.nextStreamId++;
            peerLink.streams.put(streamId, this);
            restartTimer(timeouts.firstByteMillis() + timeouts.connectMillis());
            try {
                peerLink.socket
                        .send(toMessage(request))
                        .onFailure(error -> peerLink.socket.close());
            } catch (VanillapointException e) {
                fail(e.code(), e.getMessage(), RunState.NOT_RUN);
            }
        }

        private ForwardRequest toMessage(RunRequest request) {
            return new ForwardRequest(
                    streamId,
                    request.customer() == null ? null : request.customer().id(),
                    request.target(),
                    request.method(),
                    request.plan().uri(),
                    request.headers(),
                    request.plan().body(),
                    request.visitedPath(),
                    request.plan().idempotent(),
                    request.plan().tokens());
        }

        private void onHead(ForwardHead message) {
            if (headReceived) {
                return;
            }
            headReceived = true;
            restartTimer(timeouts.idleMillis());
            sink.head(message.status(), message.headers());
        }

        private void onData(ForwardData message) {
            if (!headReceived) {
                return;
            }
            restartTimer(timeouts.idleMillis());
            receivedBytes += message.bytes().length;
            sink.data(Buffer.buffer(message.bytes()));
            heldCredit += message.bytes().length;
            if (!sink.isFull()) {
                returnCredit();
            } else if (!paused) {
                paused = true;
                sink.onDrain(this::returnCredit);
            }
        }

        private void returnCredit() {
            paused = false;
            long bytes = heldCredit;
            heldCredit = 0;
            sendCredit(bytes);
        }

        private void sendCredit(long creditBytes) {
            if (!completion.future().isComplete()) {
                link.socket.send(new ForwardCredit(streamId, creditBytes));
            }
        }

        private void onEnd(ForwardEnd message) {
            if (!headReceived || message.bytes() != receivedBytes) {
                String text = "expected " + message.bytes() + " bytes, got " + receivedBytes;
                fail(ErrorCode.UPSTREAM_FAILED, text, RunState.RAN);
                return;
            }
            vertx.cancelTimer(timer);
            link.remove(streamId);
            completion.tryComplete();
        }

        private void onFailure(ForwardFailure message) {
            vertx.cancelTimer(timer);
            link.remove(streamId);
            Duration retryAfter =
                    message.retryAfterMillis() == 0
                            ? null
                            : Duration.ofMillis(message.retryAfterMillis());
            completion.tryFail(
                    new VanillapointException(
                            message.code(),
                            "VM " + vm,
                            message.message(),
                            message.runState(),
                            retryAfter));
        }

        private void restartTimer(long millis) {
            vertx.cancelTimer(timer);
            timer =
                    vertx.setTimer(
                            millis,
                            id -> {
                                if (paused) {
                                    restartTimer(millis);
                                } else {
                                    onTimeout();
                                }
                            });
        }

        /** Retires the connection as well, since it may be dead; later requests open a new one. */
        private void onTimeout() {
            link.retire();
            fail(
                    ErrorCode.UPSTREAM_TIMEOUT,
                    "VM " + vm + " fell silent",
                    headReceived ? RunState.RAN : RunState.UNKNOWN);
        }

        private void fail(ErrorCode code, String message, RunState state) {
            vertx.cancelTimer(timer);
            boolean first =
                    completion.tryFail(
                            new VanillapointException(code, "VM " + vm, message, state, null));
            if (first && link != null) {
                link.socket.send(new ForwardCancel(streamId));
                link.remove(streamId);
            }
        }
    }
}
