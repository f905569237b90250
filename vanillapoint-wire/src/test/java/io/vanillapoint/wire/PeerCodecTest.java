package io.vanillapoint.wire;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.RunState;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.model.CustomerId;
import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.message.CompleteKey;
import io.vanillapoint.core.message.ConfigReply;
import io.vanillapoint.core.message.ForwardEnd;
import io.vanillapoint.core.message.ForwardFailure;
import io.vanillapoint.core.message.Heartbeat;
import io.vanillapoint.core.message.HeartbeatReply;
import io.vanillapoint.core.message.KeyOrigin;
import io.vanillapoint.core.message.KeyOutcome;
import io.vanillapoint.core.message.KeyStatus;
import io.vanillapoint.core.message.LeaseGrant;
import io.vanillapoint.core.message.LeaseId;
import io.vanillapoint.core.message.Member;
import io.vanillapoint.core.message.MembershipUpdate;
import io.vanillapoint.core.message.PeerHello;
import io.vanillapoint.core.message.PeerMessage;
import io.vanillapoint.core.message.PlacementView;
import io.vanillapoint.core.message.PublishedValue;
import io.vanillapoint.core.message.RegisterReply;
import io.vanillapoint.core.message.RegisterRequest;
import io.vanillapoint.core.message.ReservePurpose;
import io.vanillapoint.core.message.ReserveReply;
import io.vanillapoint.core.message.ReserveRequest;
import io.vanillapoint.core.message.Settle;
import io.vanillapoint.core.message.StoredResponse;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TStruct;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TMemoryBuffer;
import org.junit.jupiter.api.Test;

/**
 * Peer messages are unchanged by encoding and decoding. Malformed and oversized payloads are
 * rejected; messages of newer versions are skipped.
 */
class PeerCodecTest {
    private static final int MAX_BYTES = 10_000;
    private static final VmId VM = new VmId("a-1");

    private final PeerCodec codec = new PeerCodec(MAX_BYTES);

    @Test
    void messagesAreUnchangedByEncodingAndDecoding() {
        StoredResponse response = new StoredResponse(201, "text/plain", new byte[] {1, 2});
        PlacementView view = PlacementView.of(List.of(VM));
        List<PeerMessage> messages =
                List.of(
                        new PeerHello(VM, 5, 1),
                        new Heartbeat(
                                1,
                                2,
                                3,
                                true,
                                new LeaseId(4, 5),
                                6,
                                new MembershipUpdate(8, 9, List.of(new Member(VM, 7)))),
                        new HeartbeatReply(
                                1,
                                2,
                                3,
                                true,
                                false,
                                4,
                                new MembershipUpdate(1, 0, List.of()),
                                Optional.of(new LeaseGrant(1, 0.25, 2_000, 3, List.of(view)))),
                        new ReserveRequest(1, new CustomerId("c"), 1.5, ReservePurpose.TRANSFER),
                        new ReserveReply(1, 2.5, Long.MAX_VALUE, 0.5),
                        new Settle(1, 0.5),
                        new RegisterRequest(1, "k", "a", "f", KeyOrigin.CHOSEN),
                        new RegisterReply(1, KeyStatus.ANSWERED, true, Optional.of(response)),
                        new CompleteKey("k", "a", KeyOutcome.UNKNOWN, Optional.empty()),
                        new ConfigReply(9, List.of(new PublishedValue("k", 8, "{}"))),
                        new ForwardEnd(1, 2),
                        new ForwardFailure(
                                1, ErrorCode.NO_UPSTREAM, "text", RunState.NOT_RUN, 100));
        for (PeerMessage message : messages) {
            assertThat(codec.decode(codec.encode(message)).orElseThrow(), is(message));
        }
    }

    @Test
    void messageOfANewerVersionIsSkipped() throws Exception {
        TMemoryBuffer buffer = new TMemoryBuffer(64);
        TCompactProtocol out = new TCompactProtocol(buffer);
        out.writeStructBegin(new TStruct("TEnvelope"));
        out.writeFieldBegin(new TField("future", TType.I64, (short) 900));
        out.writeI64(1);
        out.writeFieldEnd();
        out.writeFieldStop();
        byte[] payload = Arrays.copyOf(buffer.getArray(), buffer.length());
        assertThat(codec.decode(payload), is(Optional.empty()));
    }

    @Test
    void oversizedMessagesAreRejectedInBothDirections() {
        PeerMessage large = new PeerHello(new VmId("x".repeat(MAX_BYTES)), 1, 1);
        assertThrows(VanillapointException.class, () -> codec.encode(large));
        assertThrows(VanillapointException.class, () -> codec.decode(new byte[MAX_BYTES + 1]));
    }

    @Test
    void randomBytesAreRefusedOrSkipped() {
        Random random = new Random(7);
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = new byte[random.nextInt(64)];
            random.nextBytes(bytes);
            try {
                codec.decode(bytes);
            } catch (VanillapointException e) {
                assertThat(e.code(), is(ErrorCode.BAD_MESSAGE));
            }
        }
    }
}
