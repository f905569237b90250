package io.vanillapoint.core.retry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

/** Retries stay a small fraction of the requests. */
class RetryBudgetTest {
    @Test
    void retriesStayWithinTheBudgetDuringAnOutage() {
        RetryBudget budget = new RetryBudget(0.2, 1, 10, 0);
        int requests = 10_000;
        int retries = 0;
        for (int i = 0; i < requests; i++) {
            budget.recordRequest();
            for (int attempt = 0; attempt < 2; attempt++) {
                retries += budget.tryAcquire(i) ? 1 : 0;
            }
        }
        assertThat(retries, lessThan((int) (0.2 * requests) + 10 + 10 + 1));
    }

    @Test
    void idleVmMayRetryOncePerSecond() {
        RetryBudget budget = new RetryBudget(0.2, 1, 1, 0);
        assertThat(budget.tryAcquire(0), is(true));
        assertThat(budget.tryAcquire(1), is(false));
        assertThat(budget.tryAcquire(1_001), is(true));
    }
}
