package io.vanillapoint.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests heartbeats that contain a part of their sender's state. */
class ReportPageTest {
    private final FleetView view = new FleetView(vm("a", 1), FleetTiming.DEFAULT, 2);
    private int sequence;

    @Test
    void pageReplacesItsOwnUpstreamsAndKeepsTheOthers() {
        Map<String, UpstreamUse> first = new HashMap<>();
        for (int i = 0; i < 40; i++) {
            first.put("i-" + i, new UpstreamUse(1, 100));
        }
        receive(report(1).upstreams(first));
        ReportPage page = new ReportPage(1, 3, false);
        receive(report(1).page(page).upstreams(Map.of()));
        for (String upstream : first.keySet()) {
            int expected = page.covers(upstream) ? 0 : 1;
            assertThat(upstream, view.otherVmUse(upstream).requests(), is(expected));
        }
        receive(report(2).page(new ReportPage(0, 3, false)).upstreams(Map.of()));
        assertThat(
                "nothing is outstanding after a restart",
                first.keySet().stream().allMatch(id -> view.otherVmUse(id).requests() == 0),
                is(true));
    }

    @Test
    void customerFirstReportedLateIsNotChargedForEarlierTokens() {
        receive(report(1).page(partialCustomers()).customers(Map.of("c", new CustomerUse(500, 0))));
        List<CustomerSpend> late =
                receive(
                        report(1)
                                .page(partialCustomers())
                                .customers(Map.of("d", new CustomerUse(900, 0))));
        assertThat(late.get(0).tokens(), is(0L));
        List<CustomerSpend> next =
                receive(
                        report(1)
                                .page(partialCustomers())
                                .customers(Map.of("d", new CustomerUse(950, 0))));
        assertThat(next.get(0).tokens(), is(50L));
        List<CustomerSpend> kept =
                receive(
                        report(1)
                                .page(partialCustomers())
                                .customers(Map.of("c", new CustomerUse(570, 0))));
        assertThat(kept.get(0).tokens(), is(70L));
    }

    @Test
    void newCustomerIsChargedAfterACompleteReport() {
        receive(report(1).customers(Map.of("c", new CustomerUse(500, 0))));
        List<CustomerSpend> spends =
                receive(
                        report(1)
                                .page(partialCustomers())
                                .customers(Map.of("d", new CustomerUse(90, 0))));
        assertThat(spends.get(0).tokens(), is(90L));
    }

    @Test
    void allTokensSinceARestartAreCharged() {
        receive(report(1).page(partialCustomers()).customers(Map.of("c", new CustomerUse(500, 0))));
        List<CustomerSpend> spends =
                receive(
                        report(2)
                                .page(partialCustomers())
                                .customers(Map.of("c", new CustomerUse(30, 0))));
        assertThat(spends.get(0).tokens(), is(30L));
        spends =
                receive(
                        report(2)
                                .page(partialCustomers())
                                .customers(Map.of("d", new CustomerUse(40, 0))));
        assertThat(spends.get(0).tokens(), is(40L));
    }

    @Test
    void pageNumberOutOfRangeIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> new ReportPage(3, 3, false));
        assertThrows(IllegalArgumentException.class, () -> new ReportPage(0, 0, false));
    }

    private List<CustomerSpend> receive(FleetReport.Builder report) {
        return view.receive(report.build(), 1_000 + 200L * sequence);
    }

    private FleetReport.Builder report(long incarnation) {
        return FleetReport.builder(vm("b", incarnation), ++sequence);
    }

    private static ReportPage partialCustomers() {
        return new ReportPage(0, 1, true);
    }

    private static MemberInfo vm(String name, long incarnation) {
        return new MemberInfo(
                name,
                "10.0.0.1",
                new RegionId("r"),
                new ZoneId("z"),
                MemberInfo.ONE_CORE,
                incarnation,
                MemberState.READY);
    }
}
