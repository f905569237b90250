package io.vanillapoint.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.channels.ClosedChannelException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * Passes on the requests of a connection to the HTTP library, one at a time: a head when it is
 * complete and fits, content as it arrives, and the next request when the response to the one
 * before has been written.
 *
 * <p>What a client sends ahead of its turn is kept up to a bound, then left unread. The chunks that
 * arrive in one read are passed on as one. Confined to one event loop.
 */
final class RequestGuard extends ChannelDuplexHandler {
    /** Bytes of following requests beyond which a connection is not read. */
    private static final int MAX_AHEAD_BYTES = 16 * 1_024;

    /** Receive buffer of a connection that is not read; its memory counts as the process's. */
    private static final int UNREAD_BUFFER_BYTES = 8 * 1_024;

    /** A timer, unlike a queued task, lets the event loop read other connections first. */
    private static final long NEXT_REQUEST_MILLIS = 1;

    /** Bytes that are discarded behind a refusal, so that its client can read it. */
    private static final int MAX_DISCARDED_BYTES = 1_024 * 1_024;

    /** Longest time for that. */
    private static final long DISCARD_MILLIS = 2_000;

    /** Longest time from the first part of a request to the end of its body. */
    private static final long BODY_MILLIS = 30_000;

    private final InboundConnections connections;
    private final InboundPort port;
    private final RequestParser parser = new RequestParser();
    private final RequestParser.Cursor cursor = new RequestParser.Cursor();
    private ChannelHandlerContext context;
    private InboundPort.Phase phase = InboundPort.Phase.UNFINISHED;
    private long sinceMillis;
    private long heldBytes;
    private ByteBuf ahead;
    private boolean headPassedOn;
    private boolean requestDecoded;
    private boolean responseBegun;
    private boolean responseWritten;
    private boolean closesAfterResponse;
    private boolean refused;
    private boolean closed;
    private int discardedBytes;
    private long pendingBytes;

    RequestGuard(InboundConnections connections, InboundPort port) {
        this.connections = connections;
        this.port = port;
        sinceMillis = connections.millis();
    }

    /** Takes its place in front of the HTTP library. */
    void install(Channel channel) {
        channel.config().setRecvByteBufAllocator(new BoundedReads(parser::onlyContentFollows));
        ChannelPipeline pipeline = channel.pipeline();
        String decoder = pipeline.context(HttpRequestDecoder.class).name();
        String encoder = pipeline.context(HttpResponseEncoder.class).name();
        pipeline.addBefore(decoder, "request-guard", this);
        pipeline.addAfter(encoder, "exchange-recorder", new ExchangeRecorder());
    }

    @Override
    public void handlerAdded(ChannelHandlerContext newContext) {
        context = newContext;
    }

    /** Memory that this connection holds of the budget for heads, in bytes. */
    long heldBytes() {
        return heldBytes;
    }

    /** Tells whether closing this connection frees its memory at once. */
    boolean isUnread() {
        return !headPassedOn;
    }

    /** When the phase of this connection has begun, by the clock of all connections. */
    long sinceMillis() {
        return sinceMillis;
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        try {
            if (closed) {
                return;
            }
            if (refused) {
                discard(bytes.readableBytes());
            } else if (phase == InboundPort.Phase.BUSY || ahead != null) {
                keepAhead(bytes);
            } else {
                read(bytes);
            }
        } finally {
            bytes.release();
        }
    }

    private void discard(int count) {
        discardedBytes += count;
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            close("discarding");
        }
    }

    private void read(ByteBuf bytes) {
        int count = bytes.readableBytes();
        byte[] input = connections.scratch(count);
        int start = bytes.readerIndex();
        bytes.getBytes(start, input, 0, count);
        cursor.move(0, count);
        boolean begins = !parser.insideRequest();
        if (begins) {
            parser.limitFields(connections.limits().fieldBytes());
        }
        try {
            readRequest(bytes, start, input);
            if (phase != InboundPort.Phase.BUSY && !closed) {
                keepUnfinished(begins);
            }
            if (cursor.hasMore()) {
                keepAhead(bytes.slice(start + cursor.at(), count - cursor.at()));
            }
        } catch (RefusedRequestException e) {
            refuse(e.refusal());
        }
    }

    /** Reads up to the end of the input or of the request. */
    private void readRequest(ByteBuf bytes, int start, byte[] input)
            throws RefusedRequestException {
        MergedChunk chunk = null;
        boolean chunked = headPassedOn && parser.head().chunked();
        boolean ended = false;
        while (!ended && !closed) {
            switch (parser.next(input, cursor)) {
                case HEAD -> {
                    RequestHead head = parser.head();
                    passOnHead(head);
                    chunked = head.chunked();
                    ended = parser.endsWithoutFurtherByte();
                }
                case CONTENT -> {
                    int count = parser.contentEnd() - parser.contentStart();
                    if (chunked) {
                        chunk = chunk == null ? new MergedChunk(bytes.readableBytes()) : chunk;
                        chunk.append(input, parser.contentStart(), count);
                    } else {
                        passOn(bytes.retainedSlice(start + parser.contentStart(), count));
                        ended = parser.endsWithoutFurtherByte();
                    }
                }
                case END -> ended = true;
                default -> {
                    passOnChunk(chunk, false);
                    return;
                }
            }
        }
        if (ended && !closed) {
            passOnChunk(chunk, chunked);
            endRequest();
        }
    }

    private void passOnChunk(MergedChunk chunk, boolean last) {
        if (chunk != null) {
            passOn(chunk.bytes(last));
        } else if (last) {
            passOn(MergedChunk.last());
        }
    }

    private void passOn(ByteBuf bytes) {
        context.fireChannelRead(bytes);
    }

    private void passOnHead(RequestHead head) throws RefusedRequestException {
        hold(HeadMemoryBudget.cost(head));
        headPassedOn = true;
        requestDecoded = false;
        responseBegun = false;
        responseWritten = false;
        passOn(Unpooled.wrappedBuffer(head.bytes()));
    }

    /** Charges the part of a head that has arrived. */
    private void keepUnfinished(boolean begins) throws RefusedRequestException {
        if (!parser.insideRequest()) {
            return;
        }
        if (begins) {
            enter(InboundPort.Phase.UNFINISHED);
        }
        if (!headPassedOn) {
            hold(parser.keptBytes());
        }
    }

    private void hold(long bytes) throws RefusedRequestException {
        if (!resize(bytes)) {
            throw new RefusedRequestException(RequestRefusal.NO_MEMORY);
        }
    }

    private boolean resize(long bytes) {
        boolean fits = connections.tryResize(this, bytes);
        if (fits) {
            heldBytes = bytes;
        }
        return fits;
    }

    private void release() {
        resize(0);
    }

    private void enter(InboundPort.Phase newPhase) {
        port.remove(this, phase);
        phase = newPhase;
        sinceMillis = connections.millis();
        pendingBytes = 0;
        port.add(this, newPhase);
    }

    private void endRequest() {
        if (!requestDecoded) {
            // The library expects more: the next request would be read as a part of this one.
            close("other_framing");
            return;
        }
        enter(InboundPort.Phase.BUSY);
        if (responseWritten) {
            endExchange();
        }
    }

    /** The response has been written and the request been read to its end. */
    private void endExchange() {
        headPassedOn = false;
        responseBegun = false;
        resize(ahead == null ? 0 : ahead.readableBytes());
        if (closesAfterResponse) {
            close("too_far_ahead");
            return;
        }
        enter(InboundPort.Phase.IDLE);
        if (ahead != null) {
            context.executor()
                    .schedule(this::readAhead, NEXT_REQUEST_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Keeps bytes that follow the request in progress. */
    private void keepAhead(ByteBuf bytes) {
        if (ahead == null) {
            skipEmptyLines(bytes);
        }
        int count = bytes.readableBytes();
        if (count == 0 || closesAfterResponse) {
            return;
        }
        if (!resize(heldBytes + count)) {
            closesAfterResponse = true;
            dropAhead();
            stopReading();
            return;
        }
        ahead = ahead == null ? Unpooled.buffer(count) : ahead;
        ahead.writeBytes(bytes);
        if (ahead.readableBytes() >= MAX_AHEAD_BYTES) {
            stopReading();
        }
    }

    private static void skipEmptyLines(ByteBuf bytes) {
        while (bytes.isReadable()) {
            byte next = bytes.getByte(bytes.readerIndex());
            if (next != '\r' && next != '\n') {
                return;
            }
            bytes.skipBytes(1);
        }
    }

    private void stopReading() {
        ChannelConfig config = context.channel().config();
        config.setAutoRead(false);
        config.setOption(ChannelOption.SO_RCVBUF, UNREAD_BUFFER_BYTES);
    }

    private void readAhead() {
        if (closed || refused || ahead == null) {
            return;
        }
        ByteBuf bytes = ahead;
        ahead = null;
        release();
        read(bytes);
        context.fireChannelReadComplete();
        if (!closed && (ahead == null || ahead.readableBytes() < MAX_AHEAD_BYTES)) {
            context.channel().config().setAutoRead(true);
        }
    }

    private void dropAhead() {
        ahead = null;
    }

    /** Responds instead of the HTTP library and closes the connection. */
    private void refuse(RequestRefusal refusal) {
        connections.listener().refused(port.name(), refusal);
        dropAhead();
        parser.reset();
        if (!headPassedOn) {
            release();
        }
        refused = true;
        if (responseBegun) {
            close("after_response");
            return;
        }
        enter(InboundPort.Phase.UNFINISHED);
        String body = connections.listener().body(refusal);
        String retryAfter =
                refusal.temporary()
                        ? "Retry-After: " + connections.listener().retryAfter() + "\r\n"
                        : "";
        String response =
                "HTTP/1.1 "
                        + refusal.status()
                        + " "
                        + refusal.phrase()
                        + "\r\ncontent-type: application/json\r\nconnection: close\r\n"
                        + retryAfter
                        + "content-length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body;
        context.writeAndFlush(Unpooled.wrappedBuffer(response.getBytes(StandardCharsets.US_ASCII)))
                .addListener((ChannelFutureListener) this::endOutput);
    }

    private void endOutput(ChannelFuture written) {
        if (written.isSuccess() && !closed) {
            ((DuplexChannel) written.channel()).shutdownOutput();
        } else {
            written.channel().close();
        }
    }

    /** Closes the connection if its time is over. */
    void checkTime() {
        InboundLimits limits = connections.limits();
        if (refused) {
            if (connections.passed(sinceMillis, DISCARD_MILLIS)) {
                close("discarding");
            }
            return;
        }
        switch (phase) {
            case IDLE -> closeIfPassed(limits.idleMillis(), "idle");
            case UNFINISHED -> checkUnfinished(limits);
            case BUSY -> checkProgress(limits.idleMillis());
            default -> throw new IllegalStateException(phase.name());
        }
    }

    private void checkUnfinished(InboundLimits limits) {
        if (headPassedOn) {
            if (connections.passed(sinceMillis, BODY_MILLIS)) {
                refuse(RequestRefusal.BODY_TOO_SLOW);
            }
        } else if (parser.insideRequest()) {
            if (connections.passed(sinceMillis, limits.headMillis())) {
                refuse(RequestRefusal.HEAD_TOO_SLOW);
            }
        } else if (port.closesIdle()) {
            closeIfPassed(limits.idleMillis(), "idle");
        }
    }

    /** A client that takes nothing of its response for the idle time has left. */
    private void checkProgress(long idleMillis) {
        ChannelOutboundBuffer buffer = context.channel().unsafe().outboundBuffer();
        long pending = buffer == null ? 0 : buffer.totalPendingWriteBytes();
        if (pending == 0 || pending < pendingBytes) {
            sinceMillis = connections.millis();
        }
        pendingBytes = pending;
        if (pending > 0) {
            closeIfPassed(idleMillis, "response_not_read");
        }
    }

    private void closeIfPassed(long limitMillis, String reason) {
        if (connections.passed(sinceMillis, limitMillis)) {
            close(reason);
        }
    }

    /** Closes the connection at once. */
    void close(String reason) {
        if (!closed) {
            connections.listener().closed(port.name(), reason);
            leave();
            context.close();
        }
    }

    /** The objects of a head that was passed on are there until the library learns of the close. */
    private void leave() {
        closed = true;
        dropAhead();
        parser.reset();
        if (!headPassedOn) {
            release();
        }
        port.remove(this, phase);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        if (!closed) {
            leave();
        }
        context.fireChannelInactive();
        release();
    }

    /** Follows the requests that the HTTP library has read and the responses that it writes. */
    private final class ExchangeRecorder extends ChannelDuplexHandler {
        @Override
        public void channelRead(ChannelHandlerContext source, Object message) {
            requestDecoded |= message instanceof LastHttpContent;
            source.fireChannelRead(message);
        }

        @Override
        public void write(ChannelHandlerContext target, Object message, ChannelPromise promise) {
            if (refused) {
                ReferenceCountUtil.release(message);
                promise.tryFailure(new ClosedChannelException());
                return;
            }
            boolean interim =
                    message instanceof HttpResponse response
                            && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            if (interim) {
                target.write(message, promise);
                return;
            }
            responseBegun |= message instanceof HttpResponse;
            if (message instanceof LastHttpContent) {
                target.write(message, promise.unvoid().addListener(written -> responseEnded()));
            } else {
                target.write(message, promise);
            }
        }

        private void responseEnded() {
            responseWritten = true;
            if (phase == InboundPort.Phase.BUSY && !closed) {
                endExchange();
            }
        }
    }
}
