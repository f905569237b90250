package io.vanillapoint.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Tests the estimate of the processor time that a VM's requests need. */
class LoadMeterTest {
    private static final long START = 1_000_000;

    private final LoadMeter meter = new LoadMeter();

    @Test
    void idleVmHasZeroLoad() {
        assertThat(meter.milliCores(START), is(0));
    }

    @Test
    void fiftyRequestsASecondOfTenMillisecondsNeedHalfACore() {
        sendRequests(START, 20, 500);
        assertThat(meter.milliCores(START + 10_000), is(500));
    }

    @Test
    void loadEstimateIsKeptWhileCallersCacheTheDirectory() {
        sendRequests(START, 10, 200);
        assertThat(meter.milliCores(START + 2_000), is(1_000));
        assertThat(meter.milliCores(START + LoadMeter.RETENTION_MILLIS - 100), is(1_000));
        assertThat(meter.milliCores(START + LoadMeter.RETENTION_MILLIS + 2_000), is(0));
    }

    @Test
    void loadIsZeroAfterALongIdlePeriod() {
        sendRequests(START, 10, 200);
        assertThat(meter.milliCores(START + 100 * LoadMeter.RETENTION_MILLIS), is(0));
    }

    private void sendRequests(long from, long intervalMillis, int requests) {
        for (int i = 0; i < requests; i++) {
            meter.request(from + i * intervalMillis);
        }
    }
}
