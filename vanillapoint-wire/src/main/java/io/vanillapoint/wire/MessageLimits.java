package io.vanillapoint.wire;

import org.apache.thrift.TConfiguration;
import org.apache.thrift.protocol.TProtocolUtil;

/**
 * Limits of received messages. Thrift skips unknown fields recursively and does not apply the
 * recursion limit of its configuration to them, so the depth is also set for skipped fields, for
 * the whole process. Stateless and thread-safe.
 */
final class MessageLimits {
    private static final int MAX_DEPTH = 16;

    static {
        TProtocolUtil.setMaxSkipDepth(MAX_DEPTH);
    }

    private MessageLimits() {}

    /** Limits of a message with at most so many bytes. */
    static TConfiguration ofSize(int maxBytes) {
        return new TConfiguration(maxBytes, maxBytes, MAX_DEPTH);
    }
}
