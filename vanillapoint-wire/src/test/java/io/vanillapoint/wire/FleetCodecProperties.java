package io.vanillapoint.wire;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.notNullValue;

import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.fleet.CustomerUse;
import io.vanillapoint.core.fleet.FleetReport;
import io.vanillapoint.core.fleet.FleetTiming;
import io.vanillapoint.core.fleet.FleetView;
import io.vanillapoint.core.fleet.HeartbeatPlan;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.fleet.MemberObservation;
import io.vanillapoint.core.fleet.MemberState;
import io.vanillapoint.core.fleet.SessionCacheEntry;
import io.vanillapoint.core.fleet.UpstreamUse;
import io.vanillapoint.core.fleet.VmRoster;
import io.vanillapoint.core.message.HeaderField;
import io.vanillapoint.core.message.RelayRequest;
import io.vanillapoint.core.prompt.SessionLocations;
import io.vanillapoint.core.published.CopyLimits;
import io.vanillapoint.core.published.PublishedTable;
import io.vanillapoint.core.published.StoreChanges;
import io.vanillapoint.core.published.StorePosition;
import io.vanillapoint.core.published.StoredItem;
import io.vanillapoint.wire.generated.TFleetMember;
import io.vanillapoint.wire.generated.TFleetReport;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.junit.jupiter.api.Assertions;

/**
 * Decoding truncated, corrupted and random input. Each message is either rejected with a place or
 * decodes to a value that the rest of the code can process without an exception.
 */
class FleetCodecProperties {
    private static final long NOW = 1_000_000;

    private final FleetCodec codec = new FleetCodec();

    @Property(tries = 20_000, seed = "20261204")
    void corruptReportIsRejectedOrHarmless(@ForAll long seed) {
        byte[] bytes = corrupt(codec.encode(report()), new Random(seed));
        FleetReport report;
        try {
            report = codec.decodeReport(bytes);
        } catch (VanillapointException e) {
            assertThat(e.place(), notNullValue());
            return;
        }
        FleetView view = new FleetView(vm("self"), FleetTiming.DEFAULT, 6);
        HeartbeatPlan plan = new HeartbeatPlan(FleetTiming.DEFAULT);
        SessionLocations sessions = new SessionLocations();
        view.receive(codec.decodeReport(codec.encode(report())), NOW);
        view.receive(report, NOW + 1);
        sessions.mergeReads(report.reads(), NOW + 1);
        plan.next(view, NOW + 200);
        view.prune(NOW + 300);
        view.heardFraction(NOW + 300);
        VmRoster roster = new VmRoster(vm("self"), Set.of(), 6, FleetTiming.DEFAULT, NOW);
        roster.observe(report, NOW + 1);
        roster.rank("key");
        roster.settled(NOW + 5_000);
        codec.encode(view.nextReport(0).others(view.observations(NOW + 400)).build());
    }

    @Property(tries = 10_000, seed = "20261205")
    void corruptStoreCopyIsRejectedOrHarmless(@ForAll long seed) {
        StoredItem item = new StoredItem("servers/i-1", 7, false, "{}".getBytes());
        byte[] bytes = codec.encode(StoreChanges.changes(new StorePosition(2, 9), List.of(item)));
        try {
            StoreChanges changes = codec.decodeStoreChanges(corrupt(bytes, new Random(seed)));
            new PublishedTable(CopyLimits.ofHeap(1 << 30)).merge(changes);
        } catch (VanillapointException e) {
            assertThat(e.place(), notNullValue());
        }
    }

    @Property(tries = 10_000, seed = "20261206")
    void corruptRelayedRequestIsRejectedOrComplete(@ForAll long seed) {
        RelayRequest request =
                new RelayRequest(
                        "id-1",
                        "route",
                        "service",
                        Optional.of("customer"),
                        900,
                        "POST",
                        "/a/b",
                        List.of(new HeaderField("Request-Id", "id-1")),
                        "body".getBytes(),
                        7);
        try {
            byte[] bytes = corrupt(codec.encode(request), new Random(seed));
            RelayRequest decoded = codec.decodeRelayRequest(bytes);
            for (Object part :
                    Arrays.asList(decoded.requestId(), decoded.method(), decoded.uri())) {
                assertThat(part, notNullValue());
            }
            decoded.headers().forEach(header -> assertThat(header.name(), notNullValue()));
            assertThat(decoded.body(), notNullValue());
        } catch (VanillapointException e) {
            assertThat(e.place(), notNullValue());
        }
    }

    /** An unnamed VM would enter the VM list and make every later heartbeat fail. */
    @Example
    void vmWithoutANameIsRefused() throws Exception {
        TFleetReport message = new TFleetReport();
        message.setSender(new TFleetMember().setHost("10.0.0.1").setCapacity(1_000));
        message.getSender().setRegion("r").setZone("z");
        message.setCustomers(List.of()).setUpstreams(List.of()).setReads(List.of());
        message.setOthers(List.of());
        byte[] bytes = new TSerializer(new TCompactProtocol.Factory()).serialize(message);
        Assertions.assertThrows(VanillapointException.class, () -> codec.decodeReport(bytes));
    }

    private static byte[] corrupt(byte[] bytes, Random random) {
        byte[] corrupted =
                Arrays.copyOf(bytes, bytes.length - random.nextInt(bytes.length / 8 + 1));
        int overwrites = random.nextInt(4);
        for (int i = 0; i < overwrites; i++) {
            corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt(256);
        }
        if (random.nextInt(10) == 0) {
            random.nextBytes(corrupted);
        }
        return corrupted;
    }

    private static FleetReport report() {
        return FleetReport.builder(vm("a"), 4)
                .customers(Map.of("customer-1", new CustomerUse(5_000, -20)))
                .upstreams(Map.of("i-7f3a91c2", new UpstreamUse(3, 900)))
                .reads(List.of(new SessionCacheEntry(123_456_789_012L, "i-7f3a91c2", 40)))
                .others(List.of(new MemberObservation(vm("b"), 30)))
                .rejectionLimits(Map.of("service-1", 3))
                .build();
    }

    private static MemberInfo vm(String name) {
        return new MemberInfo(
                name, "10.0.0.1", new RegionId("r"), new ZoneId("z"), 750, 17, MemberState.READY);
    }
}
