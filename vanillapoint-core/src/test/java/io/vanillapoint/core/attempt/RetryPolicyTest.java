package io.vanillapoint.core.attempt;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vanillapoint.core.published.RouteKind;
import io.vanillapoint.core.published.RouteSpec;
import io.vanillapoint.core.published.ServiceShare;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Retries of random sequences of attempt outcomes stay within the limits of the route. */
class RetryPolicyTest {
    @ParameterizedTest
    @CsvSource({
        "AT_MOST_ONCE,false,1",
        "EVENT_STREAM,false,1",
        "EVENT_STREAM,true,2",
        "IDEMPOTENT,false,2",
        "IDEMPOTENT,false,3"
    })
    void attemptsStayWithinTheLimitOfTheRoute(RouteKind kind, boolean resumable, int attempts) {
        RouteSpec route = route(kind, resumable, attempts);
        for (long seed = 0; seed < 2_000; seed++) {
            Random random = new Random(seed);
            AttemptHistory history = new AttemptHistory();
            int mayHaveRun = 0;
            int sends = 0;
            boolean mayRetry = true;
            while (mayRetry) {
                history.recordSend();
                sends++;
                AttemptOutcome outcome =
                        AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)];
                history.recordOutcome(outcome);
                mayHaveRun += outcome.mayHaveRun() ? 1 : 0;
                mayRetry = RetryPolicy.mayRetry(route, history, outcome);
            }
            boolean repeatable = kind.mayRunAgain(resumable);
            assertThat(mayHaveRun, lessThanOrEqualTo(repeatable ? attempts : 1));
            assertThat(sends, lessThanOrEqualTo(attempts + 5));
            assertThat(history.mayHaveRun(), is(mayHaveRun > 0));
        }
    }

    private static RouteSpec route(RouteKind kind, boolean resumable, int attempts) {
        return new RouteSpec(
                "r",
                "h",
                "/",
                kind,
                4_000,
                800,
                300,
                1,
                List.of(new ServiceShare("s", 1)),
                attempts,
                false,
                false,
                resumable,
                Set.of());
    }
}
