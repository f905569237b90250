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
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests to cold replicas that are delayed between their placement and their sending. */
class ColdSendTest {
    private static final double PER_SECOND = 1.7;

    /** The operators' limit on arrivals in one second from all VMs. */
    private static final double MAX_IN_A_SECOND = PER_SECOND * 1.5 + 3;

    private static final int MAX_DELAY_MILLIS = 2_500;
    private static final List<String> NAMES = List.of("vm-1", "vm-2", "vm-3");
    private static final ServiceSpec SERVICE =
            new ServiceSpec("s", 10, 3_000, PER_SECOND, Optional.empty());

    /** A burst delays the event loops of all VMs, which then send the delayed requests at once. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void requestsDelayedByBusyEventLoopsDoNotArriveInABurst(long seed) {
        Random random = new Random(seed);
        List<Vm> vms = NAMES.stream().map(Vm::new).toList();
        Arrivals arrivals = new Arrivals();
        long delayedUntil = 0;
        for (long now = VmRoster.SETTLE_MILLIS; now < 60_000; now += 10) {
            for (Vm vm : vms) {
                vm.place(now);
                if (now >= delayedUntil) {
                    vm.send(now, arrivals);
                }
            }
            if (now >= delayedUntil && random.nextInt(100) == 0) {
                delayedUntil = now + random.nextInt(MAX_DELAY_MILLIS);
            }
        }
        assertThat(arrivals.mostInASecond(), is(lessThanOrEqualTo(MAX_IN_A_SECOND)));
        assertThat(arrivals.count(), is(greaterThan(20)));
    }

    @Test
    void requestsPlacedWhileAReplicaWasWarmAreNotSentAfterItsColdRestart() {
        Vm vm = new Vm("vm-1");
        ReplicaTracker replica = vm.publish(1, 0, 10_000);
        for (int i = 0; i < 10; i++) {
            assertThat(vm.pool.maySelect(replica, SERVICE, vm.roster, 10_000), is(true));
            replica.dispatched(0, null, 10_000);
        }
        assertThat(vm.pool.maySend(replica, SERVICE, 10_000, 10_050), is(true));
        vm.publish(2, 3_000, 10_100);
        assertThat(vm.pool.maySend(replica, SERVICE, 10_000, 10_150), is(false));
    }

    @Test
    void delayedRequestIsSentIfTheServiceHasNoColdRate() {
        ServiceSpec unlimited = new ServiceSpec("s", 10, 0, 0, Optional.empty());
        Vm vm = new Vm("vm-1");
        ReplicaTracker replica = vm.publish(2, 0, 10_000);
        replica.unreachable(10_000);
        replica.unreachable(10_400);
        assertThat(vm.pool.maySend(replica, unlimited, 20_000, 20_500), is(true));
    }

    /** One of the VMs that share the replica's cold rate. */
    private static final class Vm {
        private final UpstreamPool pool =
                new UpstreamPool(Map.of(Replicas.ZONE, new RegionId("r")));
        private final VmRoster roster;
        private final ReplicaTracker replica;
        private final Queue<Long> placed = new ArrayDeque<>();

        Vm(String name) {
            roster = Rosters.withMembers(name, NAMES, 0);
            replica = publish(1, 600_000, 0);
        }

        void place(long now) {
            if (pool.maySelect(replica, SERVICE, roster, now)) {
                replica.dispatched(0, null, now);
                placed.add(now);
            }
        }

        void send(long now, Arrivals arrivals) {
            while (!placed.isEmpty()) {
                long placedAt = placed.remove();
                if (pool.maySend(replica, SERVICE, placedAt, now)) {
                    arrivals.add(now);
                }
            }
        }

        ReplicaTracker publish(long startedAt, long coldMillis, long now) {
            UpstreamReplica replica = Replicas.ready("i-1", startedAt, coldMillis);
            return pool.publish(replica, Optional.of(SERVICE), now).orElseThrow();
        }
    }
}
