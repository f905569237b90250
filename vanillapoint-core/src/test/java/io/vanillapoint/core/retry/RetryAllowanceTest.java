package io.vanillapoint.core.retry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Retries of all VMs to one service while every request fails and VMs are restarted. */
class RetryAllowanceTest {
    private static final long WINDOW_MILLIS = 10_000;

    @ParameterizedTest
    @CsvSource({"6,52,1", "9,58,2", "9,58,3", "76,192,4", "68,176,5"})
    void sumOverAllVmsStaysWithinTheBounds(int vms, double slack, long seed) {
        RetryBounds bounds = new RetryBounds(0.2, slack, WINDOW_MILLIS);
        Random random = new Random(seed);
        List<RetryAllowance> fleet = new ArrayList<>();
        for (int i = 0; i < vms; i++) {
            fleet.add(allowance(bounds, vms));
        }
        ArrayDeque<Long> retries = new ArrayDeque<>();
        ArrayDeque<Long> requests = new ArrayDeque<>();
        double worst = 0;
        int all = 0;
        for (long now = 0; now < 60_000; now += 10) {
            if (random.nextInt(1_500) == 0) {
                fleet.set(random.nextInt(vms), allowance(bounds, vms));
            }
            RetryAllowance vm = fleet.get(random.nextInt(vms));
            vm.request("s", now);
            requests.addLast(now);
            if (vm.take("s", now)) {
                retries.addLast(now);
                all++;
            }
            drop(retries, now);
            drop(requests, now);
            double bound = 0.2 * requests.size() + slack;
            worst = Math.max(worst, retries.size() / bound);
        }
        assertThat(worst, lessThanOrEqualTo(1.0));
        assertThat("retries are made at all", all, greaterThan(50));
    }

    private static RetryAllowance allowance(RetryBounds bounds, int vms) {
        RetryAllowance allowance = new RetryAllowance(bounds);
        allowance.vms(vms);
        return allowance;
    }

    private static void drop(ArrayDeque<Long> times, long now) {
        while (!times.isEmpty() && times.peekFirst() <= now - WINDOW_MILLIS) {
            times.removeFirst();
        }
    }
}
