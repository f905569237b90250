package io.vanillapoint.core.idempotency;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.idempotency.KeyDecision.Action;
import io.vanillapoint.core.message.KeyOrigin;
import io.vanillapoint.core.message.KeyStatus;
import io.vanillapoint.core.message.RegisterReply;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Which attempt waits for the others, and for how long. */
class KeyRegistrationTest {
    private static final VmId FIRST = new VmId("a-1");
    private static final VmId SECOND = new VmId("a-2");

    private final KeyRegistration registration =
            new KeyRegistration(
                    "key", "attempt", "digest", KeyOrigin.ISSUED, List.of(FIRST, SECOND), true);

    @Test
    void attemptThatCameFirstAtTheFirstHomeAsksTheOtherAgain() {
        reply(FIRST, KeyStatus.NEW);
        reply(SECOND, KeyStatus.RUNNING);
        assertThat(registration.startRepeat(), contains(SECOND));
        assertThat(registration.decision(), is(Optional.empty()));
        reply(SECOND, KeyStatus.NEW);
        assertThat(action(), is(Action.RUN));
    }

    @Test
    void attemptThatCameLateAtTheFirstHomeWithdraws() {
        reply(FIRST, KeyStatus.RUNNING);
        reply(SECOND, KeyStatus.NEW);
        assertThat(registration.startRepeat(), empty());
        assertThat(action(), is(Action.IN_PROGRESS));
    }

    /** The other attempt may run, so a home that falls silent must not count as unused. */
    @Test
    void homeThatFallsSilentAfterItReportedAnotherAttemptKeepsTheRequestFromRunning() {
        reply(FIRST, KeyStatus.NEW);
        reply(SECOND, KeyStatus.RUNNING);
        registration.startRepeat();
        registration.onTimeout(SECOND);
        assertThat(registration.startRepeat(), empty());
        assertThat(action(), is(Action.IN_PROGRESS));
    }

    @Test
    void attemptGivesUpWhileTheOtherRuns() {
        reply(FIRST, KeyStatus.NEW);
        reply(SECOND, KeyStatus.RUNNING);
        int repeats = 0;
        while (!registration.startRepeat().isEmpty()) {
            repeats++;
            reply(SECOND, KeyStatus.RUNNING);
        }
        assertThat(repeats, is(10));
        assertThat(action(), is(Action.IN_PROGRESS));
    }

    private Action action() {
        return registration.decision().orElseThrow().action();
    }

    private void reply(VmId home, KeyStatus status) {
        registration.onReply(home, new RegisterReply(1, status, true, Optional.empty()));
    }
}
