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
    private final Map<VmId, Link> links = new HashMap<>();

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
    Attempt run(Vm vm, RunRequest request, AnswerSink sink) {
        Stream stream = new Stream(vm.id(), sink);
        link(vm).onComplete(
                        opened -> {
                            if (opened.succeeded()) {
                                stream.start(opened.result(), request);
                            } else {
                                stream.fail(
                                        ErrorCode.UPSTREAM_UNREACHABLE,
                                        "VM " + vm.id() + " can't be reached",
                                        RunState.NOT_RUN);
                            }
                        });
        return stream;
    }

    private Future<Link> link(Vm vm) {
        Link present = links.get(vm.id());
        if (present != null) {
            return Future.succeededFuture(present);
        }
        return client.connect(vm.peers().port(), vm.peers().host())
                .map(socket -> links.computeIfAbsent(vm.id(), id -> new Link(id, socket)));
    }

    /** Connection to one VM. */
    private final class Link {
        private final VmId vm;
        private final FrameSocket socket;
        private final Map<Long, Stream> streams = new HashMap<>();
        private long nextStream = 1;

        private Link(VmId vm, NetSocket connection) {
            this.vm = vm;
            this.socket = new FrameSocket(connection, codec, events, clock);
            socket.receiver(this::received);
            socket.closeHandler(this::closed);
            socket.send(hello);
        }

        /** Stops opening streams on this connection and closes it after its last stream. */
        private void retire() {
            links.remove(vm, this);
            if (streams.isEmpty()) {
                socket.close();
            }
        }

        private void remove(long number) {
            streams.remove(number);
            if (streams.isEmpty() && links.get(vm) != this) {
                socket.close();
            }
        }

        private void closed() {
            links.remove(vm, this);
            for (Stream stream : new ArrayList<>(streams.values())) {
                stream.fail(
                        ErrorCode.UPSTREAM_FAILED,
                        "the connection to VM " + vm + " was lost",
                        stream.headPassed ? RunState.RAN : RunState.UNKNOWN);
            }
        }

        private void received(PeerMessage message) {
            if (message instanceof ForwardHead head) {
                with(head.stream(), stream -> stream.head(head));
            } else if (message instanceof ForwardData data) {
                with(data.stream(), stream -> stream.data(data));
            } else if (message instanceof ForwardEnd end) {
                with(end.stream(), stream -> stream.end(end));
            } else if (message instanceof ForwardFailure failure) {
                with(failure.stream(), stream -> stream.failure(failure));
            }
        }

        private void with(long number, Consumer<Stream> action) {
            Stream stream = streams.get(number);
            if (stream != null) {
                action.accept(stream);
            }
        }
    }

    /** One forwarded request. */
    private final class Stream implements Attempt {
        private final VmId vm;
        private final AnswerSink sink;
        private final Promise<Void> done = Promise.promise();
        private Link link;
        private long number;
        private boolean headPassed;
        private boolean paused;
        private long bytes;
        private long timer = -1;

        private Stream(VmId vm, AnswerSink sink) {
            this.vm = vm;
            this.sink = sink;
        }

        @Override
        public Future<Void> done() {
            return done.future();
        }

        @Override
        public void cancel() {
            fail(ErrorCode.UPSTREAM_FAILED, "cancelled", RunState.UNKNOWN);
        }

        private void start(Link opened, RunRequest request) {
            if (done.future().isComplete()) {
                return;
            }
            link = opened;
            number = opened.nextStream++;
            opened.streams.put(number, this);
            watch(timeouts.firstByteMillis() + timeouts.connectMillis());
            try {
                opened.socket.send(message(request)).onFailure(error -> opened.socket.close());
            } catch (VanillapointException e) {
                fail(e.code(), e.getMessage(), RunState.NOT_RUN);
            }
        }

        private ForwardRequest message(RunRequest request) {
            return new ForwardRequest(
                    number,
                    request.customer() == null ? null : request.customer().id(),
                    request.target(),
                    request.method(),
                    request.plan().uri(),
                    request.headers(),
                    request.plan().body(),
                    request.path(),
                    request.plan().repeatable(),
                    request.plan().tokens());
        }

        private void head(ForwardHead message) {
            if (headPassed) {
                return;
            }
            headPassed = true;
            watch(timeouts.idleMillis());
            sink.head(message.status(), message.headers());
        }

        private void data(ForwardData message) {
            if (!headPassed) {
                return;
            }
            watch(timeouts.idleMillis());
            bytes += message.bytes().length;
            sink.data(Buffer.buffer(message.bytes()));
            if (sink.isFull()) {
                paused = true;
                sink.onDrain(
                        () -> {
                            paused = false;
                            credit(message.bytes().length);
                        });
            } else {
                credit(message.bytes().length);
            }
        }

        private void credit(long amount) {
            if (!done.future().isComplete()) {
                link.socket.send(new ForwardCredit(number, amount));
            }
        }

        private void end(ForwardEnd message) {
            if (!headPassed || message.bytes() != bytes) {
                String text = "expected " + message.bytes() + " bytes, got " + bytes;
                fail(ErrorCode.UPSTREAM_FAILED, text, RunState.RAN);
                return;
            }
            vertx.cancelTimer(timer);
            link.remove(number);
            done.tryComplete();
        }

        private void failure(ForwardFailure message) {
            vertx.cancelTimer(timer);
            link.remove(number);
            Duration retryAfter =
                    message.retryAfterMillis() == 0
                            ? null
                            : Duration.ofMillis(message.retryAfterMillis());
            done.tryFail(
                    new VanillapointException(
                            message.code(),
                            "VM " + vm,
                            message.message(),
                            message.runState(),
                            retryAfter));
        }

        private void watch(long millis) {
            vertx.cancelTimer(timer);
            timer =
                    vertx.setTimer(
                            millis,
                            id -> {
                                if (paused) {
                                    watch(millis);
                                } else {
                                    silent();
                                }
                            });
        }

        /** Retires the connection as well, since it may be dead; later requests open a new one. */
        private void silent() {
            link.retire();
            fail(
                    ErrorCode.UPSTREAM_TIMEOUT,
                    "VM " + vm + " fell silent",
                    headPassed ? RunState.RAN : RunState.UNKNOWN);
        }

        private void fail(ErrorCode code, String message, RunState state) {
            vertx.cancelTimer(timer);
            boolean first =
                    done.tryFail(new VanillapointException(code, "VM " + vm, message, state, null));
            if (first && link != null) {
                link.socket.send(new ForwardCancel(number));
                link.remove(number);
            }
        }
    }
}
