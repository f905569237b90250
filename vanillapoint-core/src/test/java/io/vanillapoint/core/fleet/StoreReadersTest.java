package io.vanillapoint.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.published.StorePosition;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests which VMs read the platform's store, by simulating a region in virtual time. */
class StoreReadersTest {
    private static final RegionId WEST = new RegionId("west");
    private static final int VMS = 25;
    private static final long ROUND_MILLIS = 200;

    /** Within the shortest time limit that operators set for a configuration to take effect. */
    private static final long TAKEOVER_MILLIS = 5_000;

    private static final long RECEIVE_DELAY_MILLIS = 8_400;

    private final Map<String, FleetView> views = new LinkedHashMap<>();
    private final Map<String, HeartbeatPlan> plans = new LinkedHashMap<>();
    private final Set<String> down = new HashSet<>();
    private final Set<String> refusedByStore = new HashSet<>();
    private final Map<String, Long> receiveDelays = new HashMap<>();
    private final Map<String, Queue<Unread>> unread = new HashMap<>();
    private long now = 100_000;

    StoreReadersTest() {
        for (int i = 0; i < VMS; i++) {
            String name = "w" + i;
            MemberInfo info =
                    new MemberInfo(
                            name,
                            name,
                            WEST,
                            new ZoneId("west-a"),
                            MemberInfo.ONE_CORE,
                            1,
                            MemberState.READY);
            views.put(name, new FleetView(info, FleetTiming.DEFAULT, VMS));
            plans.put(name, new HeartbeatPlan(FleetTiming.DEFAULT));
        }
        views.values().forEach(from -> views.values().forEach(to -> to.receive(report(from), now)));
    }

    @Test
    void threeVmsOfALargeRegionReadTheStore() {
        runFor(2_000);
        assertThat(readers(), hasSize(StoreReaders.PER_REGION));
    }

    @Test
    void otherVmsTakeOverWhenAllReadersFail() {
        runFor(2_000);
        down.addAll(readers());
        runFor(TAKEOVER_MILLIS);
        assertThat(readers(), hasSize(StoreReaders.PER_REGION));
    }

    @Test
    void otherVmsTakeOverWhenTheStoreRefusesTheReaders() {
        runFor(2_000);
        refusedByStore.addAll(readers());
        runFor(TAKEOVER_MILLIS);
        List<String> answered = new ArrayList<>(readers());
        answered.removeAll(refusedByStore);
        assertThat(answered, hasSize(StoreReaders.PER_REGION));
    }

    @Test
    void isolatedVmReadsTheStoreItself() {
        runFor(2_000);
        String isolated = "w0";
        down.addAll(views.keySet());
        down.remove(isolated);
        runFor(TAKEOVER_MILLIS);
        assertThat(reads(views.get(isolated)), is(true));
    }

    /** Heartbeats that a VM reads seconds late look as if the readers were still running. */
    @Test
    void vmThatReadsHeartbeatsLateReadsTheStoreItself() {
        String late = "w0";
        receiveDelays.put(late, RECEIVE_DELAY_MILLIS);
        runFor(2 * RECEIVE_DELAY_MILLIS);
        down.addAll(views.keySet());
        down.remove(late);
        runFor(TAKEOVER_MILLIS);
        assertThat(reads(views.get(late)), is(true));
    }

    @Test
    void vmThatReadsHeartbeatsAFewRoundsLateLeavesTheStoreToOthers() {
        views.keySet().forEach(vm -> receiveDelays.put(vm, 2 * ROUND_MILLIS));
        runFor(2_000);
        assertThat(readers(), hasSize(StoreReaders.PER_REGION));
    }

    private void runFor(long millis) {
        for (long end = now + millis; now < end; now += ROUND_MILLIS) {
            unread.forEach(this::readDue);
            for (FleetView from : views.values()) {
                if (up(from)) {
                    FleetReport report = report(from);
                    for (String to : plans.get(from.self().vm()).next(from, now).all()) {
                        deliver(report, to);
                    }
                }
            }
        }
    }

    private void deliver(FleetReport report, String to) {
        if (!down.contains(to)) {
            unread.computeIfAbsent(to, unused -> new ArrayDeque<>())
                    .add(new Unread(report, now + receiveDelayMillis(to)));
            readDue(to, unread.get(to));
        }
    }

    private void readDue(String vm, Queue<Unread> reports) {
        while (!reports.isEmpty() && reports.peek().readAtMillis() <= now) {
            views.get(vm).receive(reports.remove().report(), now);
        }
    }

    private long receiveDelayMillis(String vm) {
        return receiveDelays.getOrDefault(vm, 0L);
    }

    private FleetReport report(FleetView from) {
        boolean answered = reads(from) && !refusedByStore.contains(from.self().vm());
        return from.nextReport(0)
                .others(from.observations(now))
                .store(StorePosition.START, answered)
                .build();
    }

    private List<String> readers() {
        return views.values().stream()
                .filter(this::up)
                .filter(this::reads)
                .map(view -> view.self().vm())
                .toList();
    }

    private boolean up(FleetView view) {
        return !down.contains(view.self().vm());
    }

    private boolean reads(FleetView view) {
        return StoreReaders.reads(view, receiveDelayMillis(view.self().vm()), now);
    }

    /** A heartbeat that has arrived and is read later. */
    private record Unread(FleetReport report, long readAtMillis) {}
}
