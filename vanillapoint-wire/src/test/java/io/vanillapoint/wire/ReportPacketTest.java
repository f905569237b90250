package io.vanillapoint.wire;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.fleet.CustomerUse;
import io.vanillapoint.core.fleet.FleetReport;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.fleet.MemberObservation;
import io.vanillapoint.core.fleet.MemberState;
import io.vanillapoint.core.fleet.ReportKind;
import io.vanillapoint.core.fleet.ReportPager;
import io.vanillapoint.core.fleet.SessionCacheEntry;
import io.vanillapoint.core.fleet.SilenceCounts;
import io.vanillapoint.core.fleet.UpstreamSignals;
import io.vanillapoint.core.fleet.UpstreamSignals.OutcomeCounts;
import io.vanillapoint.core.fleet.UpstreamSignals.Slowdown;
import io.vanillapoint.core.fleet.UpstreamUse;
import io.vanillapoint.core.published.StorePosition;
import io.vanillapoint.core.quarantine.AttemptStage;
import io.vanillapoint.core.quarantine.CrashEvidence;
import io.vanillapoint.core.quarantine.PartSuccess;
import io.vanillapoint.core.quarantine.PromptHold;
import io.vanillapoint.core.quarantine.QuarantineReport;
import io.vanillapoint.core.quarantine.SuspectRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
    private static final int DRAWS_PER_VM = 12;

    private static final int HOLDS = 3;
    private static final int CRASHES = 5;
    private static final int LIMITED_SERVICES = 4;

    private final Random random = new Random(1);
    private final FleetCodec codec = new FleetCodec();

    @ParameterizedTest
    @CsvSource({"9,5,11", "95,13,65", "370,13000,134"})
    void everyReportFitsOnePacketAndAllEntriesAreReported(int vms, int customers, int upstreams) {
        ReportPager.Content knowledge = knowledge(vms, customers, upstreams);
        Set<String> reportedCustomers = new HashSet<>();
        Set<String> reportedUpstreams = new HashSet<>();
        Set<String> reportedUnreachable = new HashSet<>();
        Set<String> reportedSilences = new HashSet<>();
        Set<String> reportedVms = new HashSet<>();
        Set<Object> reportedQuarantine = new HashSet<>();
        Set<String> reportedLimits = new HashSet<>();
        ReportPager pager = new ReportPager(1);
        int heartbeats = Math.max(DRAWS_PER_VM * vms, customers / 8);
        for (int heartbeat = 1; heartbeat <= heartbeats; heartbeat++) {
            FleetReport decoded = encodeAndDecode(pager, knowledge, ReportKind.BEAT, heartbeat);
            reportedCustomers.addAll(decoded.customers().keySet());
            reportedUpstreams.addAll(decoded.upstreams().keySet());
            reportedUnreachable.addAll(decoded.unreachable().orElseThrow());
            reportedSilences.addAll(decoded.silences().keySet());
            decoded.others().forEach(other -> reportedVms.add(other.info().vm()));
            reportedLimits.addAll(decoded.rejectionLimits().keySet());
            reportedQuarantine.addAll(decoded.quarantine().holds());
            reportedQuarantine.addAll(decoded.quarantine().evidence());
        }
        assertThat(reportedCustomers, hasSize(customers));
        assertThat(reportedUpstreams, hasSize(upstreams));
        assertThat(reportedUnreachable, hasSize(upstreams));
        assertThat(reportedSilences, hasSize(upstreams));
        assertThat(reportedVms, hasSize(vms - 1));
        assertThat(reportedQuarantine, hasSize(HOLDS + CRASHES));
        assertThat(reportedLimits, hasSize(LIMITED_SERVICES));
        for (ReportKind kind : ReportKind.values()) {
            encodeAndDecode(pager, knowledge, kind, heartbeats + 1 + kind.ordinal());
        }
    }

    @Test
    void customerThatSpendsMostIsReportedFirst() {
        Map<String, CustomerUse> customers = new HashMap<>();
        for (int i = 0; i < 1_000; i++) {
            customers.put("customer-" + i, new CustomerUse(1_000 + i, 5));
        }
        ReportPager pager = new ReportPager(1);
        ReportPager.Content knowledge =
                new ReportPager.Content(
                        customers,
                        Map.of(),
                        List.of(),
                        List.of(),
                        QuarantineReport.EMPTY,
                        Set.of(),
                        Map.of(),
                        Map.of(),
                        Map.of());
        for (int heartbeat = 1; heartbeat <= 200; heartbeat++) {
            encodeAndDecode(pager, knowledge, ReportKind.BEAT, heartbeat);
        }
        customers.put("customer-7", new CustomerUse(900_000, -4));
        FleetReport decoded = encodeAndDecode(pager, knowledge, ReportKind.BEAT, 201);
        assertThat(decoded.customers().get("customer-7"), is(new CustomerUse(900_000, -4)));
        assertThat(decoded.page().customersLeftOut(), is(true));
    }

    /**
     * A receiver in another region gets only a fraction of the heartbeats, here one in 16. If the
     * pages came in turn, it would receive the same pages again and again and miss the others.
     */
    @Test
    void receiverOfEverySixteenthHeartbeatGetsAllUpstreams() {
        ReportPager.Content knowledge = knowledge(95, 13, 27);
        ReportPager pager = new ReportPager(1);
        Set<String> receivedUpstreams = new HashSet<>();
        for (int heartbeat = 1; heartbeat <= 320; heartbeat++) {
            FleetReport decoded = encodeAndDecode(pager, knowledge, ReportKind.BEAT, heartbeat);
            if (heartbeat % 16 == 0) {
                receivedUpstreams.addAll(decoded.upstreams().keySet());
            }
        }
        assertThat(receivedUpstreams, hasSize(27));
    }

    /** Guards against entries that fit into no page while reports contain more of each upstream. */
    @Test
    void receiverGetsAllSignalsOfALoadAwareDeployment() {
        ReportPager.Content knowledge = loadAware(knowledge(95, 13, 65));
        ReportPager pager = new ReportPager(1);
        Map<String, UpstreamUse> receivedUses = new HashMap<>();
        Map<String, UpstreamSignals> receivedSignals = new HashMap<>();
        int pages = 1;
        for (int heartbeat = 1; heartbeat <= DRAWS_PER_VM * pages; heartbeat++) {
            FleetReport decoded = encodeAndDecode(pager, knowledge, ReportKind.BEAT, heartbeat);
            pages = Math.max(pages, decoded.page().count());
            receivedUses.putAll(decoded.upstreams());
            receivedSignals.putAll(decoded.signals());
        }
        assertThat(receivedUses, is(knowledge.upstreams()));
        assertThat(receivedSignals, is(knowledge.signals()));
    }

    private FleetReport encodeAndDecode(
            ReportPager pager, ReportPager.Content knowledge, ReportKind kind, long sequence) {
        MemberInfo self = vm(0);
        FleetReport.Builder report =
                FleetReport.builder(self, sequence).load(700).fleetSize(370).regionVms(31);
        report.store(new StorePosition(Long.MAX_VALUE, 1_234_567_890L), true);
        pager.fill(report, self, knowledge, kind.maxMembers());
        byte[] bytes = codec.encode(report.build());
        assertThat(bytes.length, is(lessThanOrEqualTo(ReportPager.PACKET_BYTES)));
        FleetReport decoded = codec.decodeReport(bytes);
        assertThat(decoded, is(report.build()));
        return decoded;
    }

    private ReportPager.Content knowledge(int vms, int customers, int upstreams) {
        Map<String, CustomerUse> customerUses = new HashMap<>();
        for (int i = 0; i < customers; i++) {
            customerUses.put(
                    "customer-" + i, new CustomerUse(random.nextLong(), random.nextLong()));
        }
        Map<String, UpstreamUse> upstreamUses = new HashMap<>();
        for (int i = 0; i < upstreams; i++) {
            String id = "i-" + Long.toHexString(random.nextLong(1L << 40));
            upstreamUses.put(id, new UpstreamUse(random.nextInt(64), random.nextInt(400_000)));
        }
        Map<String, SilenceCounts> silences = new HashMap<>();
        for (String id : upstreamUses.keySet()) {
            silences.put(id, new SilenceCounts(random.nextInt(9_000), random.nextInt(9_000)));
        }
        List<SessionCacheEntry> reads = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            reads.add(
                    new SessionCacheEntry(random.nextLong(), "i-7f3a91c2e4", random.nextInt(900)));
        }
        List<MemberObservation> members = new ArrayList<>();
        for (int i = 1; i < vms; i++) {
            members.add(new MemberObservation(vm(i), random.nextInt(300_000)));
        }
        return new ReportPager.Content(
                customerUses,
                upstreamUses,
                reads,
                members,
                quarantine(random),
                Set.copyOf(upstreamUses.keySet()),
                rejectionLimits(),
                silences,
                Map.of());
    }

    /**
     * Adds what is reported while load-aware placement is active: deferrable work at all upstreams,
     * signals of a third of them.
     */
    private ReportPager.Content loadAware(ReportPager.Content knowledge) {
        Map<String, UpstreamUse> uses = new HashMap<>();
        Map<String, UpstreamSignals> signals = new HashMap<>();
        knowledge
                .upstreams()
                .forEach(
                        (id, use) -> {
                            uses.put(
                                    id,
                                    new UpstreamUse(
                                            use.requests(),
                                            use.promptTokens(),
                                            1 + random.nextInt(64),
                                            random.nextInt(400_000)));
                            if (random.nextInt(3) == 0) {
                                signals.put(id, signals());
                            }
                        });
        return new ReportPager.Content(
                knowledge.customers(),
                uses,
                knowledge.reads(),
                knowledge.members(),
                knowledge.quarantine(),
                knowledge.unreachable(),
                knowledge.rejectionLimits(),
                knowledge.silences(),
                signals);
    }

    private UpstreamSignals signals() {
        return new UpstreamSignals(
                Optional.of(new OutcomeCounts(Integer.MAX_VALUE, random.nextInt(900))),
                Optional.of(new Slowdown(Integer.MAX_VALUE, random.nextInt(900))));
    }

    private static Map<String, Integer> rejectionLimits() {
        Map<String, Integer> limits = new HashMap<>();
        for (int i = 0; i < LIMITED_SERVICES; i++) {
            limits.put("svt-registar-search-" + i, Integer.MAX_VALUE - i);
        }
        return limits;
    }

    /** Holds and evidence as after a series of crashes, more than fit. */
    private static QuarantineReport quarantine(Random random) {
        List<PromptHold> holds = new ArrayList<>();
        List<CrashEvidence> evidence = new ArrayList<>();
        List<PartSuccess> successes = new ArrayList<>();
        for (int i = 0; i < HOLDS; i++) {
            Set<Long> parts = Set.of(random.nextLong(), random.nextLong());
            holds.add(new PromptHold(parts, random.nextLong(), 9_000_000, 299_000, 2));
        }
        for (int i = 0; i < CRASHES; i++) {
            List<Long> suspectParts = random.longs(8).boxed().toList();
            evidence.add(
                    new CrashEvidence(
                            new SuspectRequest(
                                    random.nextLong(),
                                    AttemptStage.STARTED,
                                    random.nextLong(),
                                    suspectParts),
                            600_000));
            successes.add(new PartSuccess(random.nextLong(), 600_000));
        }
        return new QuarantineReport(holds, evidence, successes);
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
