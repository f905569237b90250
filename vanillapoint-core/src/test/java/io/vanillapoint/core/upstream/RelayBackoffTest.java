package io.vanillapoint.core.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.fleet.FleetReport;
import io.vanillapoint.core.fleet.FleetTiming;
import io.vanillapoint.core.fleet.FleetView;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.fleet.MemberState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Relays to a region end after a refusal and resume after a heartbeat or a short time. */
class RelayBackoffTest {
    private static final RegionId WEST = new RegionId("west");
    private static final RegionId EAST = new RegionId("east");
    private static final long NOW = 10_000;

    private final FleetView fleet = new FleetView(vm("west-1", WEST), FleetTiming.DEFAULT, 2);
    private final RelayBackoff backoff = new RelayBackoff(fleet);

    @BeforeEach
    void refuse() {
        fleet.receive(FleetReport.builder(vm("east-1", EAST), 1).build(), NOW - 10);
        backoff.notPlaced("s", EAST.value(), "east-1", NOW);
    }

    @Test
    void refusalCountsForItsServiceAndRegionAlone() {
        assertThat(backoff.active("s", EAST.value(), NOW + 1), is(true));
        assertThat(backoff.active("other", EAST.value(), NOW + 1), is(false));
        assertThat(backoff.active("s", WEST.value(), NOW + 1), is(false));
    }

    @Test
    void refusalEndsByItselfWithoutAHeartbeat() {
        assertThat(backoff.active("s", EAST.value(), NOW + RelayBackoff.MAX_MILLIS), is(true));
        assertThat(backoff.active("s", EAST.value(), NOW + RelayBackoff.MAX_MILLIS + 1), is(false));
    }

    @Test
    void heartbeatOfTheVmThatRefusedEndsTheRefusal() {
        long later = NOW + RelayBackoff.ROUND_TRIP_MILLIS + 1;
        fleet.receive(FleetReport.builder(vm("east-2", EAST), 1).build(), later);
        assertThat(backoff.active("s", EAST.value(), later), is(true));
        fleet.receive(FleetReport.builder(vm("east-1", EAST), 2).build(), later);
        assertThat(backoff.active("s", EAST.value(), later), is(false));
    }

    @Test
    void heartbeatThatMayHaveBeenSentBeforeTheRefusalDoesNotEndIt() {
        fleet.receive(FleetReport.builder(vm("east-1", EAST), 2).build(), NOW + 50);
        assertThat(backoff.active("s", EAST.value(), NOW + 60), is(true));
    }

    @Test
    void oneRequestTriesTheRegionBeforeOthersFollow() {
        long later = NOW + RelayBackoff.MAX_MILLIS + 1;
        backoff.relayed("s", EAST.value(), later);
        assertThat(backoff.active("s", EAST.value(), later + 10), is(true));
        assertThat(
                backoff.active("s", EAST.value(), later + RelayBackoff.ROUND_TRIP_MILLIS + 1),
                is(false));
    }

    @Test
    void refusalOfTheTrialCountsAgain() {
        long later = NOW + RelayBackoff.MAX_MILLIS + 1;
        backoff.relayed("s", EAST.value(), later);
        backoff.notPlaced("s", EAST.value(), "east-1", later + 112);
        assertThat(backoff.active("s", EAST.value(), later + RelayBackoff.MAX_MILLIS), is(true));
    }

    private static MemberInfo vm(String name, RegionId region) {
        return new MemberInfo(
                name,
                name,
                region,
                new ZoneId(region.value() + "-a"),
                MemberInfo.ONE_CORE,
                1,
                MemberState.READY);
    }
}
