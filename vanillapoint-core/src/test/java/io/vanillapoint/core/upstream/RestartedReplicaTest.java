package io.vanillapoint.core.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.fleet.Rosters;
import io.vanillapoint.core.fleet.VmRoster;
import io.vanillapoint.core.published.ServiceSpec;
import io.vanillapoint.core.published.UpstreamReplica;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against excess requests to a replica that crashes and restarts under its id, cold, before
 * all VMs have received its new entry.
 */
class RestartedReplicaTest {
    private static final double COLD_PER_SECOND = 2.6;

    /** The operators' limit on arrivals in one second from all VMs. */
    private static final double MAX_IN_A_SECOND = COLD_PER_SECOND * 1.5 + 3;

    private static final long DOWN_MILLIS = 5_000;
    private static final long UP_MILLIS = 7_000;
    private static final long COLD_MILLIS = 3_000;

    /** A VM of a large region receives a change with the next heartbeat of a store reader. */
    private static final int MAX_ENTRY_DELAY_MILLIS = 1_400;

    private static final int CONNECT_TIMEOUT_MILLIS = 300;
    private static final ServiceSpec SERVICE =
            new ServiceSpec("s", 10, 3_000, COLD_PER_SECOND, Optional.empty());

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void coldRateHoldsBeforeAllVmsReceiveTheNewEntry(long seed) {
        assertColdRate(seed, UP_MILLIS);
    }

    /** VMs that have not sent for long probe by themselves, all at nearly the same time. */
    @ParameterizedTest
    @ValueSource(longs = {9_900, 10_000, 10_200, 10_500, 11_000, 15_100, 15_600})
    void coldRateHoldsWhenVmsProbeAfterALongOutage(long upMillis) {
        assertColdRate(1, upMillis);
        assertColdRate(2, upMillis);
    }

    private static void assertColdRate(long seed, long upMillis) {
        Random random = new Random(seed);
        List<Vm> vms = vms(32, random, upMillis);
        Arrivals coldArrivals = new Arrivals();
        int served = 0;
        for (long now = 3_000; now < upMillis + 7_000; now += 10) {
            for (Vm vm : vms) {
                vm.receiveEntry(now);
                boolean up = now < DOWN_MILLIS || now >= upMillis;
                if (vm.hasRequest(random) && vm.sends(now, up) && now >= upMillis) {
                    served++;
                    if (now < upMillis + COLD_MILLIS) {
                        coldArrivals.add(now);
                    }
                }
            }
        }
        assertThat(coldArrivals.mostInASecond(), is(lessThanOrEqualTo(MAX_IN_A_SECOND)));
        assertThat("requests served after the restart", served, is(greaterThan(500)));
    }

    @Test
    void singleConnectFailureBlocksAReplicaOnlyBriefly() {
        Vm vm = vms(32, new Random(1), UP_MILLIS).get(0);
        vm.tracker.unreachable(4_000);
        assertThat(vm.maySelect(4_399), is(false));
        assertThat(vm.maySelect(4_400), is(true));
    }

    /** VMs probe one after another, since the replica may have restarted cold unknown to them. */
    @Test
    void vmsCutOffFromAReplicaProbeItOneAfterAnother() {
        List<Vm> vms = vms(32, new Random(1), UP_MILLIS);
        for (Vm vm : vms) {
            vm.tracker.unreachable(4_000);
            vm.tracker.unreachable(4_500);
        }
        for (long now = 9_500; now <= 9_500 + 31 * 600; now += 600) {
            int turn = (int) (now - 9_500) / 600;
            long time = now;
            assertThat(vms.stream().filter(vm -> vm.mayProbe(time)).count(), is(turn + 1L));
        }
    }

    private static List<Vm> vms(int count, Random random, long upMillis) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add("vm-" + i);
        }
        return names.stream().map(name -> new Vm(name, names, random, upMillis)).toList();
    }

    /** A VM that sends to the replica whenever the pool permits it. */
    private static final class Vm {
        private final UpstreamPool pool =
                new UpstreamPool(Map.of(Replicas.ZONE, new RegionId("r")));
        private final VmRoster roster;
        private final ReplicaTracker tracker;
        private final long upMillis;
        private final long entryReceivedAt;
        private long busyUntil;

        Vm(String name, List<String> names, Random random, long upMillis) {
            this.upMillis = upMillis;
            roster = Rosters.withMembers(name, names, 0);
            tracker = publish(1, 0, 0);
            entryReceivedAt = upMillis + random.nextInt(MAX_ENTRY_DELAY_MILLIS);
        }

        boolean hasRequest(Random random) {
            return random.nextInt(5) == 0;
        }

        boolean maySelect(long now) {
            return pool.maySelect(tracker, SERVICE, roster, now);
        }

        boolean mayProbe(long now) {
            return tracker.mayProbe(roster.rank(tracker.info().id()), now);
        }

        boolean sends(long now, boolean up) {
            if (now < busyUntil || !maySelect(now)) {
                return false;
            }
            tracker.dispatched(0, null, now);
            if (up) {
                tracker.recordReceived(now, now);
            } else {
                busyUntil = now + CONNECT_TIMEOUT_MILLIS;
                tracker.unreachable(now + CONNECT_TIMEOUT_MILLIS);
            }
            tracker.finished();
            return up;
        }

        void receiveEntry(long now) {
            if (now >= entryReceivedAt && tracker.info().startedAtMillis() == 1) {
                publish(2, COLD_MILLIS - (entryReceivedAt - upMillis), now);
            }
        }

        private ReplicaTracker publish(long startedAt, long coldMillis, long now) {
            UpstreamReplica replica = Replicas.ready("i-1", startedAt, coldMillis);
            return pool.publish(replica, Optional.of(SERVICE), now).orElseThrow();
        }
    }
}
