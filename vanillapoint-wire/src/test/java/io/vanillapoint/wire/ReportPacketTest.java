package io.vanillapoint.wire;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.fleet.CustomerUse;
import io.vanillapoint.core.fleet.FleetReport;
import io.vanillapoint.core.fleet.HeardMember;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.fleet.MemberState;
import io.vanillapoint.core.fleet.ReportKind;
import io.vanillapoint.core.fleet.ReportPager;
import io.vanillapoint.core.fleet.SessionRead;
import io.vanillapoint.core.fleet.UpstreamUse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Encoded heartbeats of large fleets fit one packet, and successive ones cover all entries. */
class ReportPacketTest {
    /**
     * Random draws per VM after which every VM was drawn, except for about one seed in a thousand.
     */
    private static final int DRAWS_FOR_ALL = 12;

    private final Random random = new Random(1);
    private final FleetCodec codec = new FleetCodec();

    @ParameterizedTest
    @CsvSource({"9,5,11", "95,13,65", "370,13000,134"})
    void everyReportFitsOnePacketAndAllIsToldInTurn(int vms, int customers, int upstreams) {
        ReportPager.Knowledge knowledge = knowledge(vms, customers, upstreams);
        Set<String> toldCustomers = new HashSet<>();
        Set<String> toldUpstreams = new HashSet<>();
        Set<String> toldVms = new HashSet<>();
        ReportPager pager = new ReportPager(1);
        int beats = Math.max(DRAWS_FOR_ALL * vms, customers / 8);
        for (int beat = 1; beat <= beats; beat++) {
            FleetReport read = sent(pager, knowledge, ReportKind.BEAT, beat);
            toldCustomers.addAll(read.customers().keySet());
            toldUpstreams.addAll(read.upstreams().keySet());
            read.others().forEach(other -> toldVms.add(other.info().vm()));
        }
        assertThat(toldCustomers, hasSize(customers));
        assertThat(toldUpstreams, hasSize(upstreams));
        assertThat(toldVms, hasSize(vms - 1));
        for (ReportKind kind : ReportKind.values()) {
            sent(pager, knowledge, kind, beats + 1 + kind.ordinal());
        }
    }

    @Test
    void customerThatSpendsMostIsToldFirst() {
        Map<String, CustomerUse> customers = new HashMap<>();
        for (int i = 0; i < 1_000; i++) {
            customers.put("customer-" + i, new CustomerUse(1_000 + i, 5));
        }
        ReportPager pager = new ReportPager(1);
        ReportPager.Knowledge knowledge =
                new ReportPager.Knowledge(customers, Map.of(), List.of(), List.of());
        for (int beat = 1; beat <= 200; beat++) {
            sent(pager, knowledge, ReportKind.BEAT, beat);
        }
        customers.put("customer-7", new CustomerUse(900_000, -4));
        FleetReport read = sent(pager, knowledge, ReportKind.BEAT, 201);
        assertThat(read.customers().get("customer-7"), is(new CustomerUse(900_000, -4)));
        assertThat(read.page().customersLeftOut(), is(true));
    }

    /**
     * A receiver in another region gets only a fraction of the heartbeats, here one in 16. If the
     * pages came in turn, it would receive the same pages again and again and miss the others.
     */
    @Test
    void receiverOfEverySixteenthBeatHearsOfAllUpstreams() {
        ReportPager.Knowledge knowledge = knowledge(95, 13, 27);
        ReportPager pager = new ReportPager(1);
        Set<String> heard = new HashSet<>();
        for (int beat = 1; beat <= 320; beat++) {
            FleetReport read = sent(pager, knowledge, ReportKind.BEAT, beat);
            if (beat % 16 == 0) {
                heard.addAll(read.upstreams().keySet());
            }
        }
        assertThat(heard, hasSize(27));
    }

    private FleetReport sent(
            ReportPager pager, ReportPager.Knowledge knowledge, ReportKind kind, long sequence) {
        MemberInfo self = vm(0);
        FleetReport.Builder report =
                FleetReport.builder(self, sequence).load(700).fleetSize(370).regionVms(31);
        report.store(1_234_567_890L, true);
        pager.fill(report, self, knowledge, kind.mostMembers());
        byte[] bytes = codec.encode(report.build());
        assertThat(bytes.length, is(lessThanOrEqualTo(ReportPager.PACKET_BYTES)));
        FleetReport read = codec.report(bytes);
        assertThat(read, is(report.build()));
        return read;
    }

    private ReportPager.Knowledge knowledge(int vms, int customers, int upstreams) {
        Map<String, CustomerUse> uses = new HashMap<>();
        for (int i = 0; i < customers; i++) {
            uses.put("customer-" + i, new CustomerUse(random.nextLong(), random.nextLong()));
        }
        Map<String, UpstreamUse> outstanding = new HashMap<>();
        for (int i = 0; i < upstreams; i++) {
            String id = "i-" + Long.toHexString(random.nextLong(1L << 40));
            outstanding.put(id, new UpstreamUse(random.nextInt(64), random.nextInt(400_000)));
        }
        List<SessionRead> reads = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            reads.add(new SessionRead(random.nextLong(), "i-7f3a91c2e4", random.nextInt(900)));
        }
        List<HeardMember> members = new ArrayList<>();
        for (int i = 1; i < vms; i++) {
            members.add(new HeardMember(vm(i), random.nextInt(300_000)));
        }
        return new ReportPager.Knowledge(uses, outstanding, reads, members);
    }

    private static MemberInfo vm(int index) {
        return new MemberInfo(
                "front-plovdiv-west-b-" + index,
                "10.112." + index / 200 + "." + index % 200,
                new RegionId("plovdiv-west"),
                new ZoneId("plovdiv-west-b"),
                1_500,
                1_796_377_591_037L,
                MemberState.READY);
    }
}
