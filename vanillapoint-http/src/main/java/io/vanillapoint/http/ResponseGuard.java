package io.vanillapoint.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelOutputShutdownException;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpRequest;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.impl.ConnectionBase;
import java.io.IOException;

/**
 * Passes on the bytes of a client connection to the HTTP library as long as they are well-formed
 * responses; a defect fails the request that waits for the response and closes the connection.
 *
 * <p>The library takes the close of a connection for the end of a response without a length, also
 * if it closes the connection itself because a write failed. This handler fails such a response
 * unless the other side has ended it. Confined to one event loop.
 */
final class ResponseGuard extends ChannelDuplexHandler {
    private static final int MIN_READ_BYTES = 512;
    private static final int INITIAL_READ_BYTES = 2_048;

    /** Bytes read in one turn of the event loop from a connection whose reads are bounded. */
    private static final int MAX_READ_BYTES = 32 * 1_024;

    /** Error of a write after the other side has ended its responses and closed its socket. */
    private static final String BROKEN_PIPE = "Broken pipe";

    private final ResponseParser parser = new ResponseParser();
    private Throwable writeFailure;
    private boolean closed;
    private boolean failed;
    private boolean surplus;

    private ResponseGuard() {}

    /** Guards a connection that has just been opened. Called on its event loop. */
    static void install(HttpConnection connection) {
        Channel channel = ((ConnectionBase) connection).channel();
        channel.config().setAutoClose(false);
        ChannelPipeline pipeline = channel.pipeline();
        String codec = pipeline.context(HttpClientCodec.class).name();
        ResponseGuard guard = new ResponseGuard();
        pipeline.addBefore(codec, "response-guard", guard);
        pipeline.addAfter(codec, "content-merger", new ContentMerger());
        pipeline.addAfter(codec, "request-recorder", guard.new RequestRecorder());
    }

    /** Bounds what is read from a connection in one turn. Called on its event loop. */
    static void boundReads(HttpConnection connection) {
        ((ConnectionBase) connection)
                .channel()
                .config()
                .setRecvByteBufAllocator(
                        new AdaptiveRecvByteBufAllocator(
                                        MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                                .maxMessagesPerRead(1));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        int start = bytes.readerIndex();
        if (failed) {
            bytes.release();
            return;
        }
        try {
            parser.accept(bytes);
            surplus |= bytes.isReadable();
            passOn(context, bytes, start);
        } catch (MalformedResponseException e) {
            passOn(context, bytes, start);
            fail(context, e);
        }
    }

    /** Passes on the bytes that were accepted. */
    private static void passOn(ChannelHandlerContext context, ByteBuf bytes, int start) {
        int end = bytes.readerIndex();
        if (end > start) {
            context.fireChannelRead(bytes.setIndex(start, end));
        } else {
            bytes.release();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        context.fireChannelReadComplete();
        if (surplus && context.channel().config().isAutoRead()) {
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (!failed && parser.endsWithConnection() && !endedByOtherSide()) {
            failed = true;
            context.fireExceptionCaught(
                    new IOException("connection closed before the end of the body", writeFailure));
        }
        context.fireChannelInactive();
    }

    /**
     * A write that fails with another error than a broken pipe has met a reset, which the system
     * reports once: the read that follows looks like an end.
     */
    private boolean endedByOtherSide() {
        return !closed && (writeFailure == null || BROKEN_PIPE.equals(writeFailure.getMessage()));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        failed = true;
        context.fireExceptionCaught(cause);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        context.write(
                message,
                promise.unvoid()
                        .addListener(
                                written -> {
                                    if (!written.isSuccess()) {
                                        recordWriteFailure(written.cause());
                                    }
                                }));
    }

    /** Writes that fail because the connection has ended tell nothing of how it ended. */
    private void recordWriteFailure(Throwable failure) {
        if (failure instanceof ChannelOutputShutdownException && writeFailure == null) {
            writeFailure = failure.getCause() == null ? failure : failure.getCause();
        }
    }

    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) {
        closed = true;
        context.close(promise);
    }

    private void fail(ChannelHandlerContext context, MalformedResponseException defect) {
        failed = true;
        context.fireExceptionCaught(defect);
        context.close();
    }

    /** Tells the parser of each request, since the response to a HEAD request has no body. */
    private final class RequestRecorder extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (message instanceof HttpRequest request) {
                if (surplus) {
                    context.close();
                }
                parser.requestSent(HttpMethod.valueOf(request.method().name()));
            }
            context.write(message, promise);
        }
    }
}
