package io.vanillapoint.wire;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.fleet.CustomerUse;
import io.vanillapoint.core.fleet.FleetReport;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.fleet.MemberObservation;
import io.vanillapoint.core.fleet.MemberState;
import io.vanillapoint.core.fleet.SessionCacheEntry;
import io.vanillapoint.core.fleet.UpstreamUse;
import io.vanillapoint.core.published.StoreChanges;
import io.vanillapoint.core.published.StorePosition;
import io.vanillapoint.core.published.StoredItem;
import io.vanillapoint.wire.generated.TFleetMember;
import io.vanillapoint.wire.generated.TFleetReport;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TMap;
import org.apache.thrift.protocol.TStruct;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TMemoryBuffer;
import org.junit.jupiter.api.Test;

/** Encodes and decodes heartbeats and store copies. */
class FleetCodecTest {
    private final FleetCodec codec = new FleetCodec();
    private final FleetReport report =
            FleetReport.builder(vm("vm-1", MemberState.READY), 7)
                    .load(450)
                    .fleetSize(76)
                    .regionVms(26)
                    .store(new StorePosition(3, 42), true)
                    .customers(Map.of("c", new CustomerUse(5, -3)))
                    .upstreams(Map.of("u", new UpstreamUse(2, 900)))
                    .reads(List.of(new SessionCacheEntry(9, "u", 30)))
                    .others(List.of(new MemberObservation(vm("vm-2", MemberState.DRAINING), 150)))
                    .rejectionLimits(Map.of("s", 3))
                    .build();

    @Test
    void reportIsUnchangedByEncodingAndDecoding() {
        assertThat(codec.decodeReport(codec.encode(report)), is(report));
    }

    @Test
    void reportWithoutReadsKeepsAllOtherFields() {
        FleetReport decoded = codec.decodeReport(codec.encode(report.withoutReads()));
        assertThat(decoded.others(), is(report.others()));
        assertThat(decoded.reads(), is(List.of()));
        assertThat(decoded.load(), is(report.load()));
        assertThat(decoded.customers(), is(report.customers()));
    }

    @Test
    void reportOfAnOlderBuildHasNoRejectionLimits() throws TException {
        TFleetReport message = new TFleetReport();
        message.setSender(new TFleetMember().setVm("vm-1").setHost("10.0.0.1").setCapacity(360));
        message.getSender().setRegion("west").setZone("west-a").setState(1);
        message.setCustomers(List.of()).setUpstreams(List.of()).setReads(List.of());
        message.setOthers(List.of());
        byte[] bytes = new TSerializer(new TCompactProtocol.Factory()).serialize(message);
        assertThat(codec.decodeReport(bytes).rejectionLimits(), is(Map.of()));
    }

    /** An older build reads the limits of a later one as such a field. */
    @Test
    void unknownMapIsSkipped() throws TException {
        byte[] known = codec.encode(report);
        TMemoryBuffer buffer = new TMemoryBuffer(known.length);
        buffer.write(known, 0, known.length - 1);
        TCompactProtocol protocol = new TCompactProtocol(buffer);
        protocol.writeStructBegin(new TStruct("later build"));
        protocol.writeFieldBegin(new TField("unknown", TType.MAP, (short) 99));
        protocol.writeMapBegin(new TMap(TType.STRING, TType.I32, 1));
        protocol.writeString("s");
        protocol.writeI32(3);
        protocol.writeMapEnd();
        protocol.writeFieldStop();
        assertThat(codec.decodeReport(buffer.getArray()), is(report));
    }

    @Test
    void storeCopyKeepsTheFlagThatItIsComplete() {
        StoredItem item = new StoredItem("k", 7, false, new byte[] {1});
        for (boolean complete : new boolean[] {true, false}) {
            StoreChanges decoded =
                    codec.decodeStoreChanges(
                            codec.encode(
                                    new StoreChanges(
                                            new StorePosition(2, 9), complete, List.of(item))));
            assertThat(decoded.complete(), is(complete));
            assertThat(decoded.position(), is(new StorePosition(2, 9)));
            assertThat(decoded.items().get(0).key(), is("k"));
        }
    }

    @Test
    void truncatedReportIsRejected() {
        byte[] bytes = codec.encode(report);
        for (int length = 0; length < bytes.length; length++) {
            byte[] truncated = Arrays.copyOf(bytes, length);
            VanillapointException error =
                    assertThrows(VanillapointException.class, () -> codec.decodeReport(truncated));
            assertThat(error.code(), is(ErrorCode.BAD_MESSAGE));
        }
    }

    @Test
    void vmWithoutCapacityIsRefused() {
        IllegalArgumentException error =
                assertThrows(
                        IllegalArgumentException.class,
                        () ->
                                new MemberInfo(
                                        "vm-1",
                                        "10.0.0.1",
                                        new RegionId("west"),
                                        new ZoneId("west-a"),
                                        0,
                                        1,
                                        MemberState.READY));
        assertThat(error.getMessage(), containsString("vm-1"));
    }

    private static MemberInfo vm(String name, MemberState state) {
        return new MemberInfo(
                name, "10.0.0.1", new RegionId("west"), new ZoneId("west-a"), 360, 5, state);
    }
}
