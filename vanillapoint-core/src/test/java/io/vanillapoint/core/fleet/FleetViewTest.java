package io.vanillapoint.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of membership that is derived from heartbeats alone. */
class FleetViewTest {
    private static final RegionId WEST = new RegionId("west");
    private static final RegionId EAST = new RegionId("east");
    private static final RegionId NORTH = new RegionId("north");
    private static final long NOW = 10_000;

    private final FleetView view =
            new FleetView(vm("w1", WEST, 1, MemberState.READY), FleetTiming.DEFAULT, 2);

    @Test
    void callersAreSentToTheirRegion() {
        view.receive(report(vm("w2", WEST, 1, MemberState.READY), 1), NOW);
        view.receive(report(vm("e1", EAST, 1, MemberState.READY), 1), NOW);
        assertThat(hosts(WEST, Set.of(), NOW), containsInAnyOrder("w1-host", "w2-host"));
        assertThat(hosts(EAST, Set.of(), NOW), contains("e1-host"));
    }

    @Test
    void callersOfARegionWithoutVmsAreSentToTheirHomes() {
        view.receive(report(vm("e1", EAST, 1, MemberState.READY), 1), NOW);
        assertThat(hosts(NORTH, Set.of(NORTH, EAST), NOW), contains("e1-host"));
        assertThat(hosts(NORTH, Set.of(NORTH), NOW), containsInAnyOrder("w1-host", "e1-host"));
    }

    /**
     * Guards against a rolling restart of a region in which each VM drains for longer than the
     * pause between two restarts, so that all of its VMs drain at once.
     */
    @Test
    void callersAreSentToADrainingVmThatStillAcceptsRequests() {
        Set<RegionId> homes = Set.of(EAST);
        view.receive(report(vm("e1", EAST, 1, MemberState.READY), 1), NOW);
        view.receive(report(vm("e2", EAST, 1, MemberState.READY), 1), NOW);
        view.receive(report(vm("e1", EAST, 1, MemberState.DRAINING), 2), NOW + 100);
        assertThat(hosts(EAST, homes, NOW + 500), contains("e2-host"));
        view.receive(report(vm("e2", EAST, 1, MemberState.DRAINING), 2), NOW + 2_000);
        view.receive(report(vm("e1", EAST, 1, MemberState.DRAINING), 3), NOW + 2_100);
        assertThat(hosts(EAST, homes, NOW + 2_200), contains("e2-host"));
        assertThat(hosts(NORTH, homes, NOW + 2_200), contains("e2-host"));
    }

    /** A VM that drains still serves what it can finish; other regions may not process the data. */
    @Test
    void callersAreNotSentToOtherRegionsWhileTheirHomesDrain() {
        Set<RegionId> homes = Set.of(EAST);
        view.receive(report(vm("e1", EAST, 1, MemberState.READY), 1), NOW);
        view.receive(report(vm("e1", EAST, 1, MemberState.DRAINING), 2), NOW + 100);
        view.receive(report(vm("e1", EAST, 1, MemberState.DRAINING), 3), NOW + 4_000);
        assertThat(hosts(EAST, homes, NOW + 4_100), contains("e1-host"));
        assertThat(hosts(NORTH, homes, NOW + 4_100), contains("e1-host"));
        assertThat(view.isReachable(EAST, NOW + 4_100), is(false));
        assertThat(hosts(EAST, homes, NOW + 5_200), contains("w1-host"));
    }

    @Test
    void requestsAreRelayedToADrainingVmIfThereIsNoOther() {
        view.receive(report(vm("e1", EAST, 1, MemberState.READY), 1), NOW);
        view.receive(report(vm("e1", EAST, 1, MemberState.DRAINING), 2), NOW + 100);
        assertThat(view.relayVms(EAST, NOW + 200).size(), is(1));
        assertThat(view.isReachable(EAST, NOW + 200), is(true));
        view.receive(report(vm("e1", EAST, 1, MemberState.DRAINING), 3), NOW + 2_500);
        assertThat(view.isReachable(EAST, NOW + 2_600), is(false));
    }

    @Test
    void vmFirstHeardWhileDrainingReceivesNoRequests() {
        view.receive(report(vm("e1", EAST, 1, MemberState.DRAINING), 9), NOW);
        assertThat(view.isReachable(EAST, NOW + 10), is(false));
    }

    /**
     * Callers keep the addresses they have, rather than send data to a region that may not process
     * it.
     */
    @Test
    void callersOfARegionBoundHostAreNotSentToOtherRegions() {
        List<MemberInfo> vms = view.callerVms(EAST, Set.of(EAST), true, vm -> true, NOW);
        assertThat(vms, is(empty()));
    }

    @Test
    void suspectedAndDrainingVmsAreNotReturnedToCallers() {
        view.receive(report(vm("e1", EAST, 1, MemberState.READY), 1), NOW);
        view.receive(report(vm("e2", EAST, 1, MemberState.DRAINING), 1), NOW);
        assertThat(hosts(EAST, Set.of(), NOW + 1_900), contains("e1-host"));
        assertThat(hosts(EAST, Set.of(), NOW + 2_100), contains("w1-host"));
    }

    @Test
    void indirectlyObservedVmIsReturnedUntilItsLastHeartbeatTimesOut() {
        MemberObservation observation =
                new MemberObservation(vm("e2", EAST, 1, MemberState.READY), 1_500);
        FleetReport report =
                FleetReport.builder(vm("e1", EAST, 1, MemberState.READY), 1)
                        .others(List.of(observation))
                        .build();
        view.receive(report, NOW);
        assertThat(hosts(EAST, Set.of(), NOW + 100), containsInAnyOrder("e1-host", "e2-host"));
        assertThat(hosts(EAST, Set.of(), NOW + 600), contains("e1-host"));
    }

    @Test
    void relaysPreferVmsWhoseHeartbeatsArriveDirectly() {
        MemberObservation observation =
                new MemberObservation(vm("e2", EAST, 1, MemberState.READY), 100);
        FleetReport report =
                FleetReport.builder(vm("e1", EAST, 1, MemberState.READY), 1)
                        .others(List.of(observation))
                        .build();
        view.receive(report, NOW);
        assertThat(view.relayVms(EAST, NOW).size(), is(1));
        assertThat(view.relayVms(EAST, NOW + 1_500).size(), is(2));
    }

    @Test
    void reportOfAnEarlierIncarnationIsIgnored() {
        view.receive(report(vm("e1", EAST, 2, MemberState.READY), 1), NOW);
        view.receive(report(vm("e1", EAST, 1, MemberState.DRAINING), 9), NOW);
        assertThat(hosts(EAST, Set.of(), NOW), contains("e1-host"));
    }

    @Test
    void endedVmIsRemovedAndNotRestoredByReportsOfOtherVms() {
        view.receive(report(vm("e1", EAST, 1, MemberState.GONE), 1), NOW);
        view.prune(NOW + 2_100);
        assertThat(view.members(), is(empty()));
        MemberObservation observation =
                new MemberObservation(vm("e1", EAST, 1, MemberState.GONE), 2_000);
        FleetReport other =
                FleetReport.builder(vm("e2", EAST, 1, MemberState.READY), 1)
                        .others(List.of(observation))
                        .build();
        view.receive(other, NOW + 2_200);
        assertThat(view.members().size(), is(1));
    }

    @Test
    void heardFractionsOfPartitionedGroupsAddUpToOne() {
        FleetView other =
                new FleetView(vm("e1", EAST, 1, MemberState.READY), FleetTiming.DEFAULT, 2);
        other.receive(report(vm("w1", WEST, 1, MemberState.READY), 1), NOW);
        view.receive(report(vm("e1", EAST, 1, MemberState.READY), 1), NOW);
        assertThat(view.heardFraction(NOW), is(1.0));
        double sum = view.heardFraction(NOW + 2_000) + other.heardFraction(NOW + 2_000);
        assertThat(sum, is(1.0));
    }

    @Test
    void heartbeatsReachAllVmsOfALargeFleetWithBoundedFanout() {
        for (int i = 0; i < 370; i++) {
            view.receive(
                    report(vm("vm" + i, i % 3 == 0 ? WEST : EAST, 1, MemberState.READY), 1), 0);
        }
        HeartbeatPlan plan = new HeartbeatPlan(FleetTiming.DEFAULT);
        Set<String> reached = new HashSet<>();
        for (long now = 0; now < 20_000; now += FleetTiming.DEFAULT.regionIntervalMillis()) {
            List<String> round = plan.next(view, now).all();
            assertThat(round.size(), lessThanOrEqualTo(13));
            reached.addAll(round);
        }
        assertThat(reached.size(), is(370));
    }

    /** Four VMs of each of three regions carry requests, this one included; the others stand by. */
    @Test
    void vmsThatCarryRequestsReachEachOtherInEveryRound() {
        Set<String> partners = new HashSet<>();
        for (int i = 0; i < 370; i++) {
            RegionId region = i % 3 == 0 ? WEST : i % 3 == 1 ? EAST : NORTH;
            MemberInfo vm = vm("vm" + i, region, 1, MemberState.READY);
            boolean carries = i < 11;
            view.receive(FleetReport.builder(vm, 1).load(carries ? 600 : 5).build(), 0);
            if (carries) {
                partners.add(vm.host());
            }
        }
        HeartbeatPlan plan = new HeartbeatPlan(FleetTiming.DEFAULT);
        assertThat(plan.next(view, 0).all().size(), lessThanOrEqualTo(13));
        view.nextReport(600);
        for (long now = 400; now < 20_000; now += FleetTiming.DEFAULT.otherIntervalMillis()) {
            List<String> round = plan.next(view, now).all();
            assertThat(round.containsAll(partners), is(true));
            assertThat(round.size(), lessThanOrEqualTo(2 * 13));
        }
    }

    /**
     * Each of a region's 25 VMs sends one heartbeat in three seconds, so the region is heard from
     * all the time.
     */
    @Test
    void silentRegionOfALargeFleetCountsAsCutOffAfterASecond() {
        for (int i = 0; i < 75; i++) {
            RegionId region = i % 3 == 0 ? WEST : i % 3 == 1 ? EAST : NORTH;
            view.receive(report(vm("vm" + i, region, 1, MemberState.READY), 1), NOW);
        }
        assertThat(view.heardFraction(NOW + 600), is(1.0));
        view.receive(report(vm("vm0", WEST, 1, MemberState.READY), 2), NOW + 900);
        view.receive(report(vm("vm1", EAST, 1, MemberState.READY), 2), NOW + 900);
        assertThat(view.heardFraction(NOW + 1_100), is(51.0 / 76));
        assertThat(view.heardFraction(NOW + 2_500), is(1.0 / 76));
    }

    @Test
    void unreachableVmIsTemporarilyExcludedFromRelays() {
        view.receive(report(vm("e1", EAST, 1, MemberState.READY), 1), NOW);
        view.markUnreachable("e1", NOW);
        assertThat(view.relayVms(EAST, NOW + 100), is(empty()));
        view.receive(report(vm("e1", EAST, 1, MemberState.READY), 2), NOW + 2_100);
        assertThat(view.relayVms(EAST, NOW + 2_100).size(), is(1));
    }

    /**
     * Compares the incrementally maintained sum with one computed from scratch, under random
     * reports, silences and restarts.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void outstandingRequestsOfOtherVmsAreSummedOverVmsHeard(long seed) {
        Random random = new Random(seed);
        Map<String, FleetReport> last = new HashMap<>();
        Map<String, Long> heardAt = new HashMap<>();
        for (long now = 0; now < 60_000; now += 100) {
            String name = "w" + (2 + random.nextInt(4));
            if (random.nextInt(3) > 0 && now / 5_000 % 2 == name.hashCode() % 2) {
                UpstreamUse use = new UpstreamUse(random.nextInt(9), random.nextInt(900));
                FleetReport report =
                        FleetReport.builder(
                                        vm(name, WEST, 1 + now / 20_000, MemberState.READY), now)
                                .upstreams(Map.of("u" + random.nextInt(2), use))
                                .build();
                view.receive(report, now);
                last.put(name, report);
                heardAt.put(name, now);
            }
            view.prune(now);
            UpstreamUse expected = UpstreamUse.NONE;
            for (Map.Entry<String, FleetReport> report : last.entrySet()) {
                boolean heard = now - heardAt.get(report.getKey()) <= 2_000;
                UpstreamUse use = report.getValue().upstreams().get("u0");
                expected = heard && use != null ? expected.plus(use) : expected;
            }
            assertThat(view.otherVmUse("u0"), is(expected));
        }
    }

    @Test
    void startingVmAssumesTheMinimumFleetSize() {
        FleetView alone =
                new FleetView(vm("w1", WEST, 1, MemberState.READY), FleetTiming.DEFAULT, 6);
        assertThat(alone.heardFraction(NOW), is(1.0 / 6));
    }

    private List<String> hosts(RegionId region, Set<RegionId> homes, long now) {
        return view.callerVms(region, homes, false, vm -> true, now).stream()
                .map(MemberInfo::host)
                .toList();
    }

    private static FleetReport report(MemberInfo vm, long sequence) {
        return FleetReport.builder(vm, sequence).build();
    }

    private static MemberInfo vm(
            String name, RegionId region, long incarnation, MemberState state) {
        ZoneId zone = new ZoneId(region + "-a");
        return new MemberInfo(
                name, name + "-host", region, zone, MemberInfo.ONE_CORE, incarnation, state);
    }
}
