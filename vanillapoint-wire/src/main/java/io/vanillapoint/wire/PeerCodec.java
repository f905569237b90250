package io.vanillapoint.wire;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.core.message.PeerMessage;
import io.vanillapoint.wire.generated.TEnvelope;
import java.util.Arrays;
import java.util.Optional;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;

/**
 * Encodes and decodes messages between VMs. The payload of a frame is one {@link TEnvelope} in
 * Thrift's compact protocol. Unknown fields are skipped, so that VMs of different versions
 * interoperate during a rolling upgrade.
 *
 * <p>Immutable and thread-safe.
 */
public final class PeerCodec {
    private static final int INITIAL_BYTES = 512;

    private final int maxFrameBytes;

    /**
     * Creates a codec.
     *
     * @param maxFrameBytes largest payload in bytes, for both directions
     */
    public PeerCodec(int maxFrameBytes) {
        this.maxFrameBytes = maxFrameBytes;
    }

    /**
     * Returns the largest payload that is encoded or decoded.
     *
     * @return size in bytes
     */
    public int maxFrameBytes() {
        return maxFrameBytes;
    }

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return payload of one frame
     * @throws VanillapointException with {@link ErrorCode#BAD_MESSAGE} if it is too large
     */
    public byte[] encode(PeerMessage message) {
        try {
            TMemoryBuffer buffer = new TMemoryBuffer(INITIAL_BYTES);
            EnvelopeWriter.toEnvelope(message).write(new TCompactProtocol(buffer));
            if (buffer.length() > maxFrameBytes) {
                throw badMessage(
                        "expected at most " + maxFrameBytes + " bytes, got " + buffer.length());
            }
            return Arrays.copyOf(buffer.getArray(), buffer.length());
        } catch (TException e) {
            throw badMessage(e.toString());
        }
    }

    /**
     * Decodes a message.
     *
     * @param payload payload of one frame
     * @return the message, or empty if this version does not know its type
     * @throws VanillapointException with {@link ErrorCode#BAD_MESSAGE} if it is malformed or too
     *     large
     */
    public Optional<PeerMessage> decode(byte[] payload) {
        if (payload.length > maxFrameBytes) {
            throw badMessage("expected at most " + maxFrameBytes + " bytes, got " + payload.length);
        }
        try {
            TEnvelope envelope = new TEnvelope();
            envelope.read(
                    new TCompactProtocol(
                            new TMemoryInputTransport(
                                    MessageLimits.ofSize(maxFrameBytes), payload)));
            if (!envelope.isSet()) {
                return Optional.empty();
            }
            return Optional.of(EnvelopeReader.toMessage(envelope));
        } catch (TException | RuntimeException e) {
            throw badMessage(e.toString());
        }
    }

    private static VanillapointException badMessage(String cause) {
        return new VanillapointException(ErrorCode.BAD_MESSAGE, "peer frame", cause);
    }
}
