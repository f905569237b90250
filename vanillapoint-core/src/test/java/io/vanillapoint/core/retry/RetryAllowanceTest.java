package io.vanillapoint.core.retry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Retries of all VMs to one service while every request fails and VMs restart. */
class RetryAllowanceTest {
    private static final long WINDOW_MILLIS = 10_000;

    /** Time after its start within which a process knows all other VMs. */
    private static final long DISCOVERY_MILLIS = 2_500;

    @ParameterizedTest
    @CsvSource({"6,52,1", "9,58,2", "9,58,3", "76,192,4", "68,176,5"})
    void retriesOfAllVmsStayWithinTheBound(int vms, double slack, long seed) {
        RetryBounds bounds = new RetryBounds(0.2, slack, WINDOW_MILLIS);
        Random random = new Random(seed);
        List<RetryAllowance> fleet = new ArrayList<>();
        for (int i = 0; i < vms; i++) {
            fleet.add(new RetryAllowance(bounds, 0));
        }
        long[] startedAt = new long[vms];
        ArrayDeque<Long> retries = new ArrayDeque<>();
        ArrayDeque<Long> requests = new ArrayDeque<>();
        double maxBoundUse = 0;
        int granted = 0;
        for (long now = 0; now < 60_000; now += 10) {
            if (random.nextInt(1_500) == 0) {
                int restarted = random.nextInt(vms);
                fleet.set(restarted, new RetryAllowance(bounds, now));
                startedAt[restarted] = now;
            }
            int next = random.nextInt(vms);
            RetryAllowance vm = fleet.get(next);
            if (now - startedAt[next] > DISCOVERY_MILLIS) {
                vm.updateVmCount(vms, true);
            }
            vm.recordRequest("s", now);
            requests.addLast(now);
            if (vm.tryAcquire("s", now)) {
                retries.addLast(now);
                granted++;
            }
            removeExpired(retries, now);
            removeExpired(requests, now);
            double bound = 0.2 * requests.size() + slack;
            maxBoundUse = Math.max(maxBoundUse, retries.size() / bound);
        }
        assertThat(maxBoundUse, lessThanOrEqualTo(1.0));
        assertThat("granted retries", granted, greaterThan(50));
    }

    @Test
    void newProcessEarnsRetriesOnlyFromItsOwnRequests() {
        RetryAllowance fresh = new RetryAllowance(new RetryBounds(0.2, 52, WINDOW_MILLIS), 0);
        assertThat(fresh.tryAcquire("s", 0), is(false));
        for (int i = 0; i < 13; i++) {
            fresh.recordRequest("s", 5);
        }
        assertThat(fresh.tryAcquire("s", 10), is(true));
        assertThat(fresh.tryAcquire("s", 10), is(true));
        assertThat(fresh.tryAcquire("s", 10), is(false));
    }

    @Test
    void vmSpendsNoSlackUntilItKnowsAllRegions() {
        RetryAllowance partitioned = new RetryAllowance(new RetryBounds(0.2, 52, WINDOW_MILLIS), 0);
        partitioned.updateVmCount(6, false);
        assertThat(partitioned.tryAcquire("s", 2 * WINDOW_MILLIS), is(false));
        partitioned.updateVmCount(6, true);
        assertThat(partitioned.tryAcquire("s", 2 * WINDOW_MILLIS), is(true));
    }

    private static void removeExpired(ArrayDeque<Long> times, long now) {
        while (!times.isEmpty() && times.peekFirst() <= now - WINDOW_MILLIS) {
            times.removeFirst();
        }
    }
}
