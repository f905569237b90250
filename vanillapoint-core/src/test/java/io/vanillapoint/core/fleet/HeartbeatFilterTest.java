package io.vanillapoint.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Heartbeats that name VMs which are not of the fleet. */
class HeartbeatFilterTest {
    private static final ZoneId ZONE = new ZoneId("z");
    private static final RegionId REGION = new RegionId("r");
    private static final int NAMES = 6_000;
    private static final int OTHERS = 3;

    private final FleetView fleet = new FleetView(vm("self"), FleetTiming.DEFAULT, 1);
    private final HeartbeatFilter filter = new HeartbeatFilter(fleet, Map.of(ZONE, REGION));
    private long sequence;

    /** Guards against a list of VMs that whoever reaches the port can fill. */
    @Test
    void listOfVmsIsBoundedWhateverNamesArrive() {
        receive(vm("known"));
        for (int i = 0; i < NAMES; i += 1 + OTHERS) {
            List<MemberObservation> others = new ArrayList<>();
            for (int j = 1; j <= OTHERS; j++) {
                others.add(new MemberObservation(vm("vm-" + (i + j)), 0));
            }
            receive(vm("vm-" + i), others);
        }
        assertThat(fleet.members().size(), is(lessThanOrEqualTo(HeartbeatFilter.MAX_VMS)));
        assertThat(filter.refusedVms(), is(greaterThan(0L)));
        assertThat("known VMs are heard", filter.admit(report(vm("known"))).isPresent(), is(true));
    }

    @Test
    void vmsOfUnknownZonesAndOfZonesOfOtherRegionsAreLeftOut() {
        receive(new MemberInfo("a", "h", REGION, new ZoneId("y"), 1, 1, MemberState.READY));
        receive(new MemberInfo("b", "h", new RegionId("q"), ZONE, 1, 1, MemberState.READY));
        assertThat(fleet.members().size(), is(0));
        MemberInfo foreign =
                new MemberInfo("c", "h", new RegionId("q"), ZONE, 1, 1, MemberState.READY);
        receive(
                vm("d"),
                List.of(new MemberObservation(foreign, 0), new MemberObservation(vm("e"), 0)));
        assertThat(fleet.knows("c"), is(false));
        assertThat(fleet.knows("d") && fleet.knows("e"), is(true));
    }

    /** Guards against a table of one VM's customers that grows with each name it sends. */
    @Test
    void customersOfOneVmAreBounded() {
        for (int i = 0; i < 100; i++) {
            Map<String, CustomerUse> uses = new HashMap<>();
            for (int j = 0; j < 500; j++) {
                uses.put("customer-" + i + "-" + j, new CustomerUse(1, 0));
            }
            fleet.receive(FleetReport.builder(vm("a"), ++sequence).customers(uses).build(), 1_000);
        }
        Member member = fleet.members().iterator().next();
        long known = 0;
        for (int i = 0; i < 100; i++) {
            for (int j = 0; j < 500; j++) {
                known += member.admittedTokens("customer-" + i + "-" + j).orElse(0);
            }
        }
        assertThat(known, is(lessThanOrEqualTo(40_000L)));
    }

    private void receive(MemberInfo sender) {
        receive(sender, List.of());
    }

    private void receive(MemberInfo sender, List<MemberObservation> others) {
        FleetReport report = FleetReport.builder(sender, ++sequence).others(others).build();
        filter.admit(report).ifPresent(admitted -> fleet.receive(admitted, 1_000));
    }

    private FleetReport report(MemberInfo sender) {
        return FleetReport.builder(sender, ++sequence).build();
    }

    private static MemberInfo vm(String name) {
        return new MemberInfo(name, "10.0.0.1", REGION, ZONE, 1_000, 1, MemberState.READY);
    }
}
