package io.vanillapoint.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Passes on the chunks of a body that arrive in one read together, so that the work behind it does
 * not grow with their number.
 *
 * <p>Invariant: the bytes are unchanged and in order, and none is held back once the read is
 * complete. Confined to one event loop.
 */
final class ContentMerger extends ChannelInboundHandlerAdapter {
    private HttpContent first;
    private ByteBuf merged;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpContent content && !(message instanceof LastHttpContent)) {
            add(context, content);
        } else {
            passOn(context);
            context.fireChannelRead(message);
        }
    }

    private void add(ChannelHandlerContext context, HttpContent content) {
        if (first == null && merged == null) {
            first = content;
            return;
        }
        if (merged == null) {
            merged = context.alloc().buffer();
            append(first);
            first = null;
        }
        append(content);
    }

    private void append(HttpContent content) {
        merged.writeBytes(content.content());
        content.release();
    }

    private void passOn(ChannelHandlerContext context) {
        HttpContent content = merged == null ? first : new DefaultHttpContent(merged);
        first = null;
        merged = null;
        if (content != null) {
            context.fireChannelRead(content);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        passOn(context);
        context.fireChannelReadComplete();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        passOn(context);
        context.fireExceptionCaught(cause);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        passOn(context);
        context.fireChannelInactive();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        passOn(context);
    }
}
