package io.vanillapoint.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Leaves new connections of a listening socket in the system's queue while too many are open, so
 * that an event loop that is behind does not find all descriptors taken.
 *
 * <p>The connections are accepted by another thread than the one that serves them. Safe for use by
 * several threads.
 */
public final class AcceptLimit extends ChannelInboundHandlerAdapter {
    private static final String NAME = "accept-limit";

    /** Connections beyond the limit, each of which may replace another one. */
    private static final int WAITING_CONNECTIONS = 8;

    private final Channel server;
    private final int limit;
    private final AtomicInteger open = new AtomicInteger();

    private AcceptLimit(Channel server, int maxConnections) {
        this.server = server;
        limit = maxConnections + WAITING_CONNECTIONS;
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
                            if (server.pipeline().get(NAME) == null) {
                                server.pipeline()
                                        .addFirst(NAME, new AcceptLimit(server, maxConnections));
                            }
                        });
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (open.incrementAndGet() >= limit) {
            server.config().setAutoRead(false);
        }
        ((Channel) message).closeFuture().addListener(closed -> connectionClosed());
        context.fireChannelRead(message);
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
