package io.vanillapoint.http.testing;

import io.netty.channel.ChannelHandlerContext;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many clients of one port that send the same bytes and keep their connections open until the crowd
 * closes. Used by one thread.
 */
public final class ClientCrowd implements AutoCloseable {
    /** Text in a part of a request that is replaced by the number of the client. */
    public static final String NUMBER = "{number}";

    /** Bytes that a client without end hands over at a time. */
    private static final int BLOCK_BYTES = 16 * 1_024;

    /** A crowd that is not through by then is left as it is. */
    private static final long SEND_SECONDS = 10;

    private static final long POLL_MILLIS = 20;

    private final Vertx vertx = Vertx.vertx();
    private final NetClient client;
    private final List<NetSocket> sockets = new ArrayList<>();
    private final String host;
    private final int port;
    private final AtomicInteger due = new AtomicInteger();
    private boolean readsAnswers = true;

    /** Creates a crowd without clients. */
    public ClientCrowd(String host, int port) {
        this.host = host;
        this.port = port;
        client = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
    }

    /** Lets clients that connect from now on leave what they receive unread. */
    public ClientCrowd withoutReading() {
        readsAnswers = false;
        return this;
    }

    /** Adds clients that send a text once. */
    public ClientCrowd sendOnce(int clients, String text) {
        return connect(
                clients,
                (socket, number) ->
                        socket.write(bytes(text.replace(NUMBER, Integer.toString(number))))
                                .onComplete(written -> due.decrementAndGet()));
    }

    /** Adds clients that only connect. */
    public ClientCrowd connectOnly(int clients) {
        return connect(clients, (socket, number) -> due.decrementAndGet());
    }

    /** Adds clients that send a text and then another one again and again, as fast as they can. */
    public ClientCrowd sendWithoutEnd(int clients, String first, String repeated) {
        Buffer block = bytes(repeated.repeat(Math.max(1, BLOCK_BYTES / repeated.length())));
        return connect(
                clients,
                (socket, number) -> {
                    socket.write(bytes(first.replace(NUMBER, Integer.toString(number))));
                    due.decrementAndGet();
                    AtomicBoolean closed = new AtomicBoolean();
                    socket.closeHandler(ignored -> closed.set(true));
                    sendBlocks(socket, block, closed);
                });
    }

    private void sendBlocks(NetSocket socket, Buffer block, AtomicBoolean closed) {
        if (closed.get()) {
            return;
        }
        socket.write(block);
        if (socket.writeQueueFull()) {
            socket.drainHandler(drained -> sendBlocks(socket, block, closed));
        } else {
            vertx.runOnContext(ignored -> sendBlocks(socket, block, closed));
        }
    }

    private ClientCrowd connect(int clients, Client action) {
        due.addAndGet(clients);
        for (int i = 0; i < clients; i++) {
            int number = i;
            client.connect(port, host)
                    .onSuccess(socket -> start(socket, number, action))
                    .onFailure(refused -> due.decrementAndGet());
        }
        return this;
    }

    private void start(NetSocket socket, int number, Client action) {
        socket.exceptionHandler(ignored -> {});
        if (readsAnswers) {
            socket.handler(ignored -> {});
        } else {
            socket.pause();
        }
        synchronized (sockets) {
            sockets.add(socket);
        }
        action.start(socket, number);
    }

    /** Waits until all clients have sent what they send once, or a time limit has passed. */
    public ClientCrowd awaitSent() throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(SEND_SECONDS);
        while (due.get() > 0 && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        return this;
    }

    private static Buffer bytes(String text) {
        return Buffer.buffer(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() {
        synchronized (sockets) {
            sockets.forEach(ClientCrowd::abandon);
        }
        try {
            vertx.close().await(SEND_SECONDS, TimeUnit.SECONDS);
        } catch (TimeoutException e) {
            throw new IllegalStateException("connections of the crowd did not close in time", e);
        }
    }

    /** Closes a connection without waiting until what is queued has been sent. */
    private static void abandon(NetSocket socket) {
        ChannelHandlerContext first =
                ((NetSocketInternal) socket).channelHandlerContext().pipeline().firstContext();
        if (first != null) {
            first.close();
        }
    }

    /** What one client does once it is connected. */
    private interface Client {
        void start(NetSocket socket, int number);
    }
}
