package io.vanillapoint.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.InternetProtocolFamily;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.datagram.DatagramSocketOptions;
import io.vertx.core.net.ClientOptionsBase;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.spi.transport.Transport;

/**
 * The library's transport, with an {@link AcceptLimit} on each listening socket from its start: the
 * port's own limit is known only once an event loop has handled a first connection, which a busy
 * one does late. Stateless and safe for use by several threads.
 */
public final class InboundTransport implements io.vertx.core.transport.Transport {
    private final Transport implementation = new Limited(NIO.implementation());

    private InboundTransport() {}

    /**
     * Creates an instance of the library whose servers are all limited.
     *
     * @param options its options
     * @return the instance; each of its servers has to install its limit
     */
    public static Vertx vertx(VertxOptions options) {
        return Vertx.builder().with(options).withTransport(new InboundTransport()).build();
    }

    @Override
    public String name() {
        return NIO.name();
    }

    @Override
    public boolean available() {
        return NIO.available();
    }

    @Override
    public Throwable unavailabilityCause() {
        return NIO.unavailabilityCause();
    }

    @Override
    public Transport implementation() {
        return implementation;
    }

    /** Adds the limit to what another transport does. */
    private record Limited(Transport other) implements Transport {
        @Override
        public IoHandlerFactory ioHandlerFactory() {
            return other.ioHandlerFactory();
        }

        @Override
        public DatagramChannel datagramChannel() {
            return other.datagramChannel();
        }

        @Override
        @SuppressWarnings("deprecation") // part of the interface
        public DatagramChannel datagramChannel(InternetProtocolFamily family) {
            return other.datagramChannel(family);
        }

        @Override
        public ChannelFactory<? extends Channel> channelFactory(boolean domainSocket) {
            return other.channelFactory(domainSocket);
        }

        @Override
        public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
            return other.serverChannelFactory(domainSocket);
        }

        @Override
        public void configure(DatagramChannel channel, DatagramSocketOptions options) {
            other.configure(channel, options);
        }

        @Override
        public void configure(
                ClientOptionsBase options,
                int connectTimeoutMillis,
                boolean domainSocket,
                io.netty.bootstrap.Bootstrap bootstrap) {
            other.configure(options, connectTimeoutMillis, domainSocket, bootstrap);
        }

        @Override
        public void configure(
                NetServerOptions options, boolean domainSocket, ServerBootstrap bootstrap) {
            other.configure(options, domainSocket, bootstrap);
            bootstrap.handler(AcceptLimit.initializer());
        }
    }
}
