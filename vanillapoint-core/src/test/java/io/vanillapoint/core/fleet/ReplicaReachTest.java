package io.vanillapoint.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What a VM concludes from the replicas that others report as unreachable. */
class ReplicaReachTest {
    private static final RegionId WEST = new RegionId("west");
    private static final RegionId EAST = new RegionId("east");
    private static final long NOW = 10_000;

    private final FleetView view = new FleetView(vm("west-1", WEST, 1), FleetTiming.DEFAULT, 2);

    @Test
    void replicaIsOutOfReachIfAllVmsOfItsRegionSaySo() {
        report("east-1", 1, Set.of("e1"), NOW);
        report("east-2", 1, Set.of(), NOW);
        assertThat(view.reach().reachedIn(EAST, "e1", NOW), is(true));
        report("east-2", 2, Set.of("e1", "e2"), NOW + 400);
        assertThat(view.reach().reachedIn(EAST, "e1", NOW + 400), is(false));
        assertThat(view.reach().reachedIn(EAST, "e2", NOW + 400), is(true));
    }

    @Test
    void replicaIsReachedAgainOnceAVmNoLongerReportsIt() {
        report("east-1", 1, Set.of("e1"), NOW);
        report("east-1", 2, Set.of(), NOW + 400);
        assertThat(view.reach().reachedIn(EAST, "e1", NOW + 400), is(true));
    }

    @Test
    void reportOfASilentVmEndsByItself() {
        report("east-1", 1, Set.of("e1"), NOW);
        assertThat(view.reach().reaches("east-1", "e1", NOW + 1_900), is(false));
        assertThat(view.reach().reaches("east-1", "e1", NOW + 2_100), is(true));
    }

    @Test
    void deadVmsReportDoesNotCountBesideVmsThatAreHeard() {
        report("east-1", 1, Set.of(), NOW);
        report("east-2", 1, Set.of("e1"), NOW);
        report("east-2", 2, Set.of("e1"), NOW + 1_200);
        assertThat(view.reach().reachedIn(EAST, "e1", NOW + 1_200), is(false));
        report("east-3", 1, Set.of(), NOW + 1_200);
        assertThat(view.reach().reachedIn(EAST, "e1", NOW + 1_200), is(true));
    }

    @Test
    void restartedVmHasReportedNothing() {
        report("east-1", 1, Set.of("e1"), NOW);
        view.receive(FleetReport.builder(vm("east-1", EAST, 2), 1).build(), NOW + 100);
        assertThat(view.reach().reachedIn(EAST, "e1", NOW + 100), is(true));
    }

    @Test
    void buildThatReportsNoReplicasCountsAsReachingAll() {
        report("east-1", 1, Set.of("e1"), NOW);
        view.receive(FleetReport.builder(vm("east-2", EAST, 1), 1).build(), NOW);
        assertThat(view.reach().reachedIn(EAST, "e1", NOW), is(true));
        assertThat(relayVms(Set.of("e1")), is(List.of("east-2")));
    }

    @Test
    void pageKeepsReportsOnReplicasThatItDoesNotCover() {
        report("east-1", 1, Set.of("e1", "e2"), NOW);
        ReportPage page = new ReportPage(Math.floorMod("e2".hashCode(), 2), 2, false);
        view.receive(
                FleetReport.builder(vm("east-1", EAST, 1), 2)
                        .page(page)
                        .unreachable(Set.of())
                        .build(),
                NOW + 400);
        assertThat(view.reach().reaches("east-1", "e2", NOW + 400), is(true));
        assertThat(view.reach().reaches("east-1", "e1", NOW + 400), is(page.covers("e1")));
    }

    @Test
    void requestsAreRelayedToVmsThatReachAReplicaOfTheService() {
        report("east-1", 1, Set.of("e1", "e2"), NOW);
        report("east-2", 1, Set.of("e1"), NOW);
        assertThat(relayVms(Set.of("e1", "e2")), is(List.of("east-2")));
        assertThat(relayVms(Set.of("e1")).size(), is(2));
    }

    private List<String> relayVms(Set<String> replicas) {
        return view.reach().relayVms(EAST, replicas, NOW).stream().map(MemberInfo::vm).toList();
    }

    private void report(String vm, long sequence, Set<String> unreachable, long now) {
        view.receive(
                FleetReport.builder(vm(vm, EAST, 1), sequence).unreachable(unreachable).build(),
                now);
    }

    private static MemberInfo vm(String name, RegionId region, long incarnation) {
        return new MemberInfo(
                name,
                name,
                region,
                new ZoneId(region.value() + "-a"),
                MemberInfo.ONE_CORE,
                incarnation,
                MemberState.READY);
    }
}
