package io.vanillapoint.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests when a VM may rely on its list of the other VMs. */
class VmRosterTest {
    private static final RegionId REGION = new RegionId("r");
    private static final ZoneId ZONE_A = new ZoneId("r-a");
    private static final ZoneId ZONE_B = new ZoneId("r-b");
    private static final int MIN_FLEET_SIZE = 4;
    private static final long START = 1_000;
    private static final long LATER = START + VmRoster.SETTLE_MILLIS;
    private static final long FORGET = FleetTiming.DEFAULT.forgetMillis();

    private final VmRoster roster =
            new VmRoster(
                    vm("a1", ZONE_A),
                    Set.of(ZONE_A, ZONE_B),
                    MIN_FLEET_SIZE,
                    FleetTiming.DEFAULT,
                    START);

    @Test
    void listIsNotSettledWhileNoOtherVmIsHeard() {
        assertThat(roster.settled(LATER), is(false));
        assertThat(roster.settled(LATER + 60_000), is(false));
    }

    @Test
    void listIsSettledOnceNoVmReportsMoreVms() {
        receiveReports(START, 4);
        assertThat(roster.settled(LATER - 1), is(false));
        assertThat(roster.settled(LATER), is(true));
        assertThat(roster.regionVms(), is(List.of("a1", "a2", "b1", "b2")));
    }

    @Test
    void listIsNotSettledWhileAVmOfTheRegionReportsMoreVms() {
        receiveReports(START, 5);
        assertThat(roster.settled(LATER), is(false));
        receiveReports(LATER, 4);
        assertThat(roster.settled(LATER), is(true));
    }

    @Test
    void vmCountsReportedByOtherRegionsAreIgnored() {
        receiveReports(START, 4);
        MemberInfo otherRegionVm =
                new MemberInfo(
                        "far",
                        "h",
                        new RegionId("far"),
                        new ZoneId("far-a"),
                        MemberInfo.ONE_CORE,
                        1,
                        MemberState.READY);
        roster.observe(FleetReport.builder(otherRegionVm, 1).regionVms(30).build(), START + 500);
        assertThat(roster.settled(LATER), is(true));
        assertThat(roster.regionVms().size(), is(4));
        assertThat(roster.size(), is(5));
    }

    @Test
    void listIsNotSettledWhileAZoneOfTheRegionHasNoVm() {
        for (String name : List.of("a2", "a3", "a4")) {
            roster.observe(report(vm(name, ZONE_A), 4), START);
        }
        assertThat(roster.settled(LATER), is(false));
    }

    @Test
    void vmsReportedByOtherVmsAreAddedToTheList() {
        roster.observe(report(vm("b1", ZONE_B), 4), START);
        FleetReport report =
                FleetReport.builder(vm("b1", ZONE_B), 2)
                        .regionVms(4)
                        .others(
                                List.of(
                                        new MemberObservation(vm("a2", ZONE_A), 2_000),
                                        new MemberObservation(vm("b2", ZONE_B), FORGET - 1),
                                        new MemberObservation(vm("b3", ZONE_B), FORGET + 1)))
                        .build();
        roster.observe(report, START + 100);
        assertThat(roster.regionVms(), is(List.of("a1", "a2", "b1", "b2")));
        assertThat(roster.settled(LATER), is(false));
        assertThat(roster.settled(LATER + 100), is(true));
    }

    @Test
    void newVmUnsettlesTheListForTheSettleTime() {
        receiveReports(START, 4);
        roster.observe(report(vm("b3", ZONE_B), 5), LATER);
        assertThat(roster.settled(LATER + VmRoster.SETTLE_MILLIS - 1), is(false));
        assertThat(roster.settled(LATER + VmRoster.SETTLE_MILLIS), is(true));
    }

    /**
     * Guards against shared rights that move to another VM while the next process of the ended VM
     * is about to start.
     */
    @Test
    void endedVmStaysInTheListForTheForgetTime() {
        receiveReports(START, 4);
        MemberInfo ended = vm("b2", ZONE_B).withState(MemberState.GONE);
        roster.observe(report(ended, 4), LATER);
        roster.prune(LATER + 60_000);
        assertThat(roster.regionVms().contains("b2"), is(true));
        assertThat("number reported to VMs that start now", roster.runningRegionVms(), is(3));
        roster.prune(LATER + FORGET + 1);
        assertThat(roster.regionVms(), is(List.of("a1")));
    }

    @Test
    void restartedVmIsCountedAgain() {
        receiveReports(START, 4);
        roster.observe(report(vm("b2", ZONE_B).withState(MemberState.GONE), 4), LATER);
        MemberInfo next =
                new MemberInfo(
                        "b2", "h-b2", REGION, ZONE_B, MemberInfo.ONE_CORE, 2, MemberState.STARTING);
        roster.observe(report(next, 1), LATER + 500);
        assertThat(roster.runningRegionVms(), is(4));
        assertThat(roster.settled(LATER + 500), is(true));
    }

    @Test
    void listOfAnIsolatedVmIsSettledAfterTheForgetTime() {
        assertThat(roster.settled(START + FORGET), is(true));
    }

    @Test
    void vmsHaveDistinctRanksForAKey() {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < 31; i++) {
            names.add("vm-" + i);
        }
        List<VmRoster> rosters =
                names.stream().map(name -> Rosters.withMembers(name, names, START)).toList();
        for (int key = 0; key < 100; key++) {
            String replica = "i-" + key;
            long ranks = rosters.stream().mapToInt(one -> one.rank(replica)).distinct().count();
            assertThat(ranks, is(31L));
        }
    }

    private void receiveReports(long now, int reportedVms) {
        roster.observe(report(vm("a2", ZONE_A), reportedVms), now);
        roster.observe(report(vm("b1", ZONE_B), reportedVms), now);
        roster.observe(report(vm("b2", ZONE_B), reportedVms), now);
    }

    private static FleetReport report(MemberInfo vm, int regionVms) {
        return FleetReport.builder(vm, 1).regionVms(regionVms).build();
    }

    private static MemberInfo vm(String name, ZoneId zone) {
        return new MemberInfo(
                name, "h-" + name, REGION, zone, MemberInfo.ONE_CORE, 1, MemberState.READY);
    }
}
