package io.vanillapoint.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelConfig;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.util.UncheckedBooleanSupplier;
import java.util.function.IntPredicate;

/**
 * Reads of one connection in one turn of the event loop: few while each byte may begin a line or a
 * chunk, as many as the library's default while only content follows.
 *
 * <p>Confined to one event loop.
 */
final class BoundedReads extends AdaptiveRecvByteBufAllocator {
    /** Largest read, in bytes. */
    static final int MAX_READ_BYTES = 64 * 1_024;

    /** Bytes of a turn that may be other than content. */
    static final int MAX_TURN_BYTES = 2 * MAX_READ_BYTES;

    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2_048;
    private static final int READS_PER_TURN = 16;

    private final IntPredicate onlyContentFollows;

    /**
     * Creates an allocator for one connection.
     *
     * @param onlyContentFollows tells whether none of so many next bytes is part of a head or of a
     *     chunk's framing
     */
    BoundedReads(IntPredicate onlyContentFollows) {
        super(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);
        maxMessagesPerRead(READS_PER_TURN);
        this.onlyContentFollows = onlyContentFollows;
    }

    @Override
    @SuppressWarnings("deprecation") // The library's type of the method.
    public RecvByteBufAllocator.Handle newHandle() {
        return new TurnHandle((RecvByteBufAllocator.ExtendedHandle) super.newHandle());
    }

    private final class TurnHandle extends RecvByteBufAllocator.DelegatingHandle
            implements RecvByteBufAllocator.ExtendedHandle {
        private final RecvByteBufAllocator.ExtendedHandle reads;
        private int turnBytes;

        private TurnHandle(RecvByteBufAllocator.ExtendedHandle reads) {
            super(reads);
            this.reads = reads;
        }

        @Override
        public void reset(ChannelConfig config) {
            turnBytes = 0;
            super.reset(config);
        }

        @Override
        public void lastBytesRead(int bytes) {
            turnBytes += Math.max(0, bytes);
            super.lastBytesRead(bytes);
        }

        @Override
        public boolean continueReading() {
            return mayContinue() && reads.continueReading();
        }

        @Override
        public boolean continueReading(UncheckedBooleanSupplier maybeMore) {
            return mayContinue() && reads.continueReading(maybeMore);
        }

        private boolean mayContinue() {
            return turnBytes < MAX_TURN_BYTES || onlyContentFollows.test(MAX_READ_BYTES);
        }
    }
}
