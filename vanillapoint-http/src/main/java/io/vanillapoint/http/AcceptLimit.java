package io.vanillapoint.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Leaves new connections of a listening socket in the system's queue while too many are open, so
 * that an event loop that is behind does not find all descriptors taken.
 *
 * <p>The connections are accepted by another thread than the one that serves them. Invariants: a
 * closed connection counts until its descriptor is free, if many are open; of the connections that
 * one read of the listening socket accepts, some may be beyond the limit. Safe for use by several
 * threads.
 */
public final class AcceptLimit extends ChannelInboundHandlerAdapter {
    private static final String NAME = "accept-limit";

    /** Connections beyond the limit, each of which may replace another one. */
    private static final int WAITING_CONNECTIONS = 8;

    /** Pause after which an event loop goes on with other work first. */
    private static final long TURN_MILLIS = 1;

    private final Channel server;
    private final AtomicInteger open = new AtomicInteger();
    private volatile int limit;

    private AcceptLimit(Channel server, int maxConnections) {
        this.server = server;
        limit = maxConnections + WAITING_CONNECTIONS;
    }

    /** Limits a listening socket to a few connections until its own limit is installed. */
    static ChannelHandler initializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(NAME, new AcceptLimit(channel, 0));
            }
        };
    }

    /**
     * Limits the listening socket of a connection, if it is not limited yet.
     *
     * @param socket connection that has been accepted
     * @param maxConnections largest number of connections
     */
    public static void install(NetSocket socket, int maxConnections) {
        Channel channel = ((NetSocketInternal) socket).channelHandlerContext().channel();
        install(channel.parent(), maxConnections);
    }

    static void install(Channel server, int maxConnections) {
        server.eventLoop()
                .execute(
                        () -> {
                            AcceptLimit present = (AcceptLimit) server.pipeline().get(NAME);
                            if (present == null) {
                                server.pipeline()
                                        .addFirst(NAME, new AcceptLimit(server, maxConnections));
                            } else {
                                present.limit = maxConnections + WAITING_CONNECTIONS;
                                present.resume();
                            }
                        });
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (open.incrementAndGet() >= limit) {
            server.config().setAutoRead(false);
        }
        Channel accepted = (Channel) message;
        accepted.closeFuture().addListener(closed -> closed(accepted.eventLoop()));
        context.fireChannelRead(message);
    }

    /**
     * A closed connection keeps its descriptor until its event loop selects again, which it does
     * between two turns.
     */
    private void closed(EventLoop loop) {
        if (open.get() <= limit / 2 || loop.isShuttingDown()) {
            connectionClosed();
        } else {
            afterTurn(loop, () -> afterTurn(loop, this::connectionClosed));
        }
    }

    private static void afterTurn(EventLoop loop, Runnable action) {
        loop.schedule(action, TURN_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Accepts again on the thread that accepts, so that this can't come before the pause. */
    private void connectionClosed() {
        if (open.decrementAndGet() == limit - 1) {
            server.eventLoop().execute(this::resume);
        }
    }

    private void resume() {
        if (open.get() < limit) {
            server.config().setAutoRead(true);
        }
    }
}
