package io.vanillapoint.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.fleet.FleetReport;
import io.vanillapoint.core.fleet.FleetTiming;
import io.vanillapoint.core.fleet.FleetView;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.fleet.MemberState;
import io.vanillapoint.core.published.RouteKind;
import io.vanillapoint.core.published.RouteSpec;
import io.vanillapoint.core.published.ServiceShare;
import io.vanillapoint.core.published.ServiceSpec;
import io.vanillapoint.entry.control.StopSchedule;
import io.vanillapoint.entry.port.RequestEnvelope;
import io.vanillapoint.entry.traffic.RequestPlan;
import io.vanillapoint.entry.traffic.RouteDurations;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Requests that arrive after the stop request and would be cut at the end of the grace time. */
class DrainAdmissionTest {
    private static final long STOP = 10_000;
    private static final long CUTOFF_MILLIS = 7_600;
    private static final long LONG_MILLIS = 6_000;
    private static final int ANSWERED = 40;

    private final AtomicLong clock = new AtomicLong(STOP);
    private final FleetView fleet =
            new FleetView(vm("vm-1", MemberState.READY), FleetTiming.DEFAULT, 2);
    private final RouteDurations durations = new RouteDurations();
    private final DrainAdmission admission =
            new DrainAdmission(
                    fleet,
                    clock::get,
                    new StopSchedule(2_000, 2_800, CUTOFF_MILLIS, 200),
                    durations);

    @BeforeEach
    void stop() {
        for (int i = 0; i < ANSWERED; i++) {
            durations.record("long", LONG_MILLIS);
            durations.record("short", 300);
        }
        hear(MemberState.READY);
        fleet.changeSelfState(MemberState.DRAINING, STOP);
        admission.stopRequested();
    }

    @Test
    void streamThatMayRunOnceAndOutlastsTheStopIsLeftToAnotherVm() {
        assertThat(admission.admits(stream("long", false)), is(true));
        clock.set(STOP + CUTOFF_MILLIS - LONG_MILLIS + 1);
        assertThat(admission.admits(stream("long", false)), is(false));
        assertThat(admission.admits(stream("short", false)), is(true));
    }

    @Test
    void streamThatAnotherVmCanResumeIsAdmitted() {
        clock.set(STOP + CUTOFF_MILLIS - LONG_MILLIS + 1);
        assertThat(admission.admits(stream("long", true)), is(true));
    }

    @Test
    void streamIsAdmittedWhileNoOtherVmAcceptsRequests() {
        hear(MemberState.DRAINING);
        clock.set(STOP + CUTOFF_MILLIS - LONG_MILLIS + 1);
        assertThat(admission.admits(stream("long", false)), is(true));
    }

    @Test
    void streamOfARouteOfUnknownDurationIsAdmitted() {
        clock.set(STOP + CUTOFF_MILLIS - LONG_MILLIS + 1);
        assertThat(admission.admits(stream("new", false)), is(true));
    }

    private void hear(MemberState state) {
        long sequence = state.ordinal() + 1L;
        fleet.receive(FleetReport.builder(vm("vm-2", state), sequence).build(), clock.get());
    }

    private static MemberInfo vm(String name, MemberState state) {
        return new MemberInfo(
                name,
                "127.0.0.1",
                new RegionId("west"),
                new ZoneId("west-a"),
                MemberInfo.ONE_CORE,
                1,
                state);
    }

    private RequestPlan stream(String route, boolean resumable) {
        RouteSpec spec =
                new RouteSpec(
                        route,
                        "h",
                        "/",
                        RouteKind.EVENT_STREAM,
                        15_000,
                        1_200,
                        300,
                        1,
                        List.of(new ServiceShare("s", 1)),
                        1,
                        true,
                        false,
                        resumable,
                        Set.of());
        RequestEnvelope envelope =
                new RequestEnvelope(
                        "id-1",
                        "h",
                        Optional.empty(),
                        OptionalLong.empty(),
                        Optional.empty(),
                        OptionalLong.empty(),
                        OptionalLong.empty(),
                        List.of());
        return new RequestPlan(
                envelope,
                "POST",
                "/a",
                Buffer.buffer(),
                spec,
                new ServiceSpec("s", 10, 0, 0, Optional.empty()),
                Optional.empty(),
                clock.get(),
                clock.get() + 15_000,
                false);
    }
}
