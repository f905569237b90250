package io.vanillapoint.server.peer;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventSink;
import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.message.PeerHello;
import io.vanillapoint.core.message.PeerMessage;
import io.vanillapoint.server.MonotonicTime;
import io.vanillapoint.server.event.HybridClock;
import io.vanillapoint.wire.PeerCodec;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;

/**
 * Outgoing connections for control messages, one per peer VM, opened on first use.
 *
 * <p>A connection is closed and replaced if a message that expects a reply gets none in time.
 * Messages to an unreachable VM, and those that exceed the limit while a connection is being
 * opened, are dropped; the protocols on top tolerate loss. Confined to the control thread.
 */
public final class ControlLinks {
    private static final long RETRY_DELAY_MILLIS = 2_000;

    /** Number of messages to one VM that are kept while its connection is being opened. */
    private static final int MAX_WAITING_MESSAGES = 256;

    private final NetClient client;
    private final PeerCodec codec;
    private final PeerHello hello;
    private final EventSink events;
    private final HybridClock clock;
    private final long replyTimeoutMillis;
    private final BiConsumer<VmId, PeerMessage> receiver;
    private final LongConsumer sentBytesCounter;
    private final Map<VmId, Link> links = new HashMap<>();

    /**
     * Creates the links.
     *
     * @param vertx instance of the control thread
     * @param codec reads and writes payloads
     * @param hello handshake, sent first on each connection
     * @param connectMillis longest wait for a connection in milliseconds
     * @param replyTimeoutMillis longest wait for a reply before a connection counts as dead, in
     *     milliseconds
     * @param events receives events
     * @param clock clock that timestamps the messages
     * @param receiver receives the replies
     * @param sentBytesCounter receives the size of each sent frame in bytes
     */
    public ControlLinks(
            Vertx vertx,
            PeerCodec codec,
            PeerHello hello,
            long connectMillis,
            long replyTimeoutMillis,
            EventSink events,
            HybridClock clock,
            BiConsumer<VmId, PeerMessage> receiver,
            LongConsumer sentBytesCounter) {
        this.client =
                vertx.createNetClient(
                        new NetClientOptions()
                                .setConnectTimeout((int) connectMillis)
                                .setTcpNoDelay(true));
        this.codec = codec;
        this.hello = hello;
        this.events = events;
        this.clock = clock;
        this.replyTimeoutMillis = replyTimeoutMillis;
        this.receiver = receiver;
        this.sentBytesCounter = sentBytesCounter;
    }

    /**
     * Sends a message, and opens a connection for it if there is none. Messages sent while the
     * connection is being opened are sent afterwards, in order.
     *
     * @param to receiver
     * @param address its address for peers
     * @param message message to send
     */
    public void send(VmId to, Endpoint address, PeerMessage message) {
        Link link = links.computeIfAbsent(to, vm -> new Link());
        if (link.socket != null && link.isReplyOverdue()) {
            link.socket.close();
            link.markDisconnected(to);
        }
        if (link.socket != null) {
            link.write(message);
            return;
        }
        link.keep(message);
        if (link.connecting) {
            return;
        }
        link.connecting = true;
        client.connect(address.port(), address.host())
                .onSuccess(socket -> link.onConnected(to, socket))
                .onFailure(error -> link.onConnectFailed());
    }

    /**
     * Tells whether a VM is thought to be reachable. A VM whose connection failed counts as
     * reachable again after a retry delay, since a new attempt may be the only way to learn that it
     * is back.
     *
     * @param vm the VM
     * @return false if its connection failed recently
     */
    public boolean isReachable(VmId vm) {
        Link link = links.get(vm);
        return link == null || !link.failedRecently();
    }

    /** State of the connection to one VM. */
    private final class Link {
        private FrameSocket socket;
        private final Queue<PeerMessage> waiting = new ArrayDeque<>();
        private boolean connecting;
        private boolean up;
        private boolean failed;
        private long failedAtMillis;
        private long oldestUnansweredMillis;

        private boolean isReplyOverdue() {
            return oldestUnansweredMillis > 0
                    && MonotonicTime.millis() - oldestUnansweredMillis > replyTimeoutMillis;
        }

        private void keep(PeerMessage message) {
            if (waiting.size() < MAX_WAITING_MESSAGES) {
                waiting.add(message);
            }
        }

        private void onConnectFailed() {
            connecting = false;
            waiting.clear();
            failed = true;
            failedAtMillis = MonotonicTime.millis();
        }

        private void onConnected(VmId to, NetSocket connection) {
            connecting = false;
            socket = new FrameSocket(connection, codec, events, clock);
            oldestUnansweredMillis = 0;
            socket.countSent(sentBytesCounter);
            FrameSocket openedSocket = socket;
            socket.receiver(reply -> onReply(to, openedSocket, reply));
            socket.closeHandler(
                    () -> {
                        if (socket == openedSocket) {
                            markDisconnected(to);
                        }
                    });
            socket.send(hello);
            while (!waiting.isEmpty()) {
                write(waiting.remove());
            }
        }

        private void write(PeerMessage message) {
            if (message.expectsReply() && oldestUnansweredMillis == 0) {
                oldestUnansweredMillis = MonotonicTime.millis();
            }
            socket.send(message);
        }

        private void onReply(VmId to, FrameSocket from, PeerMessage reply) {
            if (socket != from) {
                return;
            }
            oldestUnansweredMillis = 0;
            failed = false;
            if (!up) {
                up = true;
                events.record(EventCode.PEER_UP, to);
            }
            receiver.accept(to, reply);
        }

        private void markDisconnected(VmId to) {
            socket = null;
            failed = true;
            failedAtMillis = MonotonicTime.millis();
            if (up) {
                up = false;
                events.record(EventCode.PEER_DOWN, to);
            }
        }

        private boolean failedRecently() {
            return failed && MonotonicTime.millis() - failedAtMillis < RETRY_DELAY_MILLIS;
        }
    }
}
