package io.vanillapoint.wire;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.VanillapointException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TList;
import org.apache.thrift.protocol.TMap;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TStruct;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TMemoryBuffer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Messages with an unknown field that is nested deeply, read with the stack of an entry VM. */
class NestedMessageTest {
    private static final long STACK_BYTES = 256L * 1_024;
    private static final short UNKNOWN_FIELD = 900;

    /** Fits a datagram. */
    private static final int DEPTH = 20_000;

    private static final int MAX_BYTES = 1 << 20;

    private final FleetCodec fleet = new FleetCodec();
    private final PeerCodec peers = new PeerCodec(MAX_BYTES);

    @ParameterizedTest
    @EnumSource
    void heartbeatIsABadMessage(Nesting nesting) throws Exception {
        assertBadMessage(() -> fleet.decodeReport(nested(nesting)));
    }

    @ParameterizedTest
    @EnumSource
    void copyOfTheStoreIsABadMessage(Nesting nesting) throws Exception {
        assertBadMessage(() -> fleet.decodeStoreChanges(nested(nesting)));
    }

    @ParameterizedTest
    @EnumSource
    void relayedRequestIsABadMessage(Nesting nesting) throws Exception {
        assertBadMessage(() -> fleet.decodeRelayRequest(nested(nesting)));
    }

    @ParameterizedTest
    @EnumSource
    void peerFrameIsABadMessage(Nesting nesting) throws Exception {
        assertBadMessage(() -> peers.decode(nested(nesting)));
    }

    private static void assertBadMessage(Runnable decoding) throws Exception {
        CompletableFuture<Object> outcome = new CompletableFuture<>();
        Runnable work =
                () -> {
                    try {
                        decoding.run();
                        outcome.complete("decoded");
                    } catch (VanillapointException e) {
                        outcome.complete(e.code());
                    } catch (StackOverflowError e) {
                        outcome.complete(e);
                    }
                };
        new Thread(null, work, "small-stack", STACK_BYTES).start();
        assertThat(outcome.get(10, TimeUnit.SECONDS), is(ErrorCode.BAD_MESSAGE));
    }

    private static byte[] nested(Nesting nesting) {
        try {
            TMemoryBuffer buffer = new TMemoryBuffer(DEPTH);
            TProtocol out = new TCompactProtocol(buffer);
            out.writeStructBegin(new TStruct());
            out.writeFieldBegin(new TField("odd", nesting.type, UNKNOWN_FIELD));
            for (int i = 0; i < DEPTH; i++) {
                nesting.open(out);
            }
            return buffer.getArray();
        } catch (TException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Containers that can be nested. Immutable. */
    private enum Nesting {
        LISTS(TType.LIST) {
            @Override
            void open(TProtocol out) throws TException {
                out.writeListBegin(new TList(TType.LIST, 1));
            }
        },
        STRUCTS(TType.STRUCT) {
            @Override
            void open(TProtocol out) throws TException {
                out.writeStructBegin(new TStruct());
                out.writeFieldBegin(new TField("odd", TType.STRUCT, (short) 1));
            }
        },
        MAPS(TType.MAP) {
            @Override
            void open(TProtocol out) throws TException {
                out.writeMapBegin(new TMap(TType.BOOL, TType.MAP, 1));
                out.writeBool(true);
            }
        };

        private final byte type;

        Nesting(byte type) {
            this.type = type;
        }

        abstract void open(TProtocol out) throws TException;
    }
}
