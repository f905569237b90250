package io.vanillapoint.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.in;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.fleet.TrafficVmSelector.VmLoad;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Tests which VMs carry a region's requests, mostly with four large and twenty small VMs. */
class TrafficVmSelectorTest {
    private static final int LARGE = 1_500;
    private static final int SMALL = 360;

    /**
     * Load of a region on a day with low traffic, in thousandths of a core: 250 requests per second
     * of 10 ms each.
     */
    private static final int LOW_TRAFFIC_LOAD = 2_500;

    @Test
    void onlyLargeVmsAreSelectedAtLowLoad() {
        List<MemberInfo> selected = TrafficVmSelector.select(region(4, 20, LOW_TRAFFIC_LOAD));
        assertThat(capacities(selected), is(List.of(LARGE, LARGE, LARGE, LARGE)));
    }

    @Test
    void smallVmsAreAddedWhenTheLoadRises() {
        List<MemberInfo> selected = TrafficVmSelector.select(region(4, 20, 2 * LOW_TRAFFIC_LOAD));
        assertThat(selected.size(), greaterThan(8));
        assertThat(
                (double) selected.stream().mapToInt(MemberInfo::capacity).sum(),
                greaterThanOrEqualTo(2 * LOW_TRAFFIC_LOAD / TrafficVmSelector.TARGET_UTILIZATION));
    }

    @Test
    void allVmsAreSelectedWhenTheLoadExceedsTheirCapacity() {
        assertThat(TrafficVmSelector.select(region(4, 20, 100_000)), hasSize(24));
    }

    @Test
    void allVmsOfASmallDeploymentAreSelected() {
        assertThat(TrafficVmSelector.select(region(0, 3, 0)), hasSize(3));
        assertThat(TrafficVmSelector.select(region(0, 4, 0)), hasSize(4));
    }

    @Test
    void equalVmsAreSelectedFromAlternatingZones() {
        Map<ZoneId, Long> zones =
                TrafficVmSelector.select(region(0, 20, 0)).stream()
                        .collect(Collectors.groupingBy(MemberInfo::zone, Collectors.counting()));
        assertThat(zones.values(), everyItem(is(2L)));
        assertThat(zones.keySet(), hasSize(2));
    }

    @Test
    void otherVmsAreSelectedAfterTheSelectedVmsFail() {
        List<VmLoad> ready = region(0, 20, 0);
        List<MemberInfo> before = TrafficVmSelector.select(ready);
        List<VmLoad> remaining = ready.stream().filter(vm -> !before.contains(vm.vm())).toList();
        assertThat(TrafficVmSelector.select(remaining), hasSize(TrafficVmSelector.MIN_VMS));
        assertThat(TrafficVmSelector.select(remaining), everyItem(not(in(before))));
    }

    @Test
    void callersUseVmsInProportionToTheirCapacity() {
        List<MemberInfo> selected = TrafficVmSelector.select(region(4, 20, 100_000));
        Random random = new Random(1);
        Map<Integer, Double> uses = new HashMap<>();
        int draws = 20_000;
        for (int i = 0; i < draws; i++) {
            List<MemberInfo> sampled = TrafficVmSelector.sample(selected, random::nextDouble);
            double each = 1.0 / sampled.size() / draws;
            sampled.forEach(vm -> uses.merge(vm.capacity(), each, Double::sum));
        }
        double largeShare = 4.0 * LARGE / (4 * LARGE + 20 * SMALL);
        assertThat(uses.get(LARGE), closeTo(largeShare, 0.03));
    }

    @Test
    void allVmsAreReturnedWhenTheirCapacitiesAreEqual() {
        List<MemberInfo> selected = TrafficVmSelector.select(region(0, 4, 0));
        assertThat(TrafficVmSelector.sample(selected, () -> 0.999), is(selected));
        assertThat(TrafficVmSelector.sample(List.of(), () -> 0.5), hasSize(0));
    }

    private static List<Integer> capacities(List<MemberInfo> vms) {
        return vms.stream().map(MemberInfo::capacity).toList();
    }

    private static List<VmLoad> region(int large, int small, int load) {
        List<VmLoad> vms = new ArrayList<>();
        for (int i = 0; i < large + small; i++) {
            ZoneId zone = new ZoneId(i % 2 == 0 ? "west-a" : "west-b");
            int capacity = i < large ? LARGE : SMALL;
            MemberInfo info =
                    new MemberInfo(
                            "vm" + i,
                            "host" + i,
                            new RegionId("west"),
                            zone,
                            capacity,
                            1,
                            MemberState.READY);
            vms.add(new VmLoad(info, load / (large + small)));
        }
        return vms;
    }
}
