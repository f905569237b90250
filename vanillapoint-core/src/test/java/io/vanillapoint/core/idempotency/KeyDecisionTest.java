package io.vanillapoint.core.idempotency;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.core.message.KeyStatus;
import io.vanillapoint.core.message.RegisterReply;
import io.vanillapoint.core.message.StoredResponse;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Decisions from the replies of a key's homes. */
class KeyDecisionTest {
    @Test
    void requestRunsWhenEveryHomeRegistersItsKey() {
        assertThat(decide(false, KeyStatus.NEW, KeyStatus.NEW), is(KeyDecision.Action.RUN));
    }

    @Test
    void retryDoesNotRunWhenOneHomeIsSilent() {
        assertThat(decide(false, KeyStatus.NEW), is(KeyDecision.Action.UNKNOWN));
    }

    @Test
    void firstAttemptRunsWhenOneHomeIsSilent() {
        assertThat(decide(true, KeyStatus.NEW), is(KeyDecision.Action.RUN));
    }

    @Test
    void requestDoesNotRunWhileAnotherAttemptIsRunning() {
        assertThat(
                decide(true, KeyStatus.NEW, KeyStatus.RUNNING), is(KeyDecision.Action.IN_PROGRESS));
    }

    @Test
    void requestDoesNotRunWhenAHomeMayHaveLostItsKey() {
        assertThat(decide(false, KeyStatus.NEW, KeyStatus.UNKNOWN), is(KeyDecision.Action.UNKNOWN));
    }

    @Test
    void requestDoesNotRunWhenNoHomeReplies() {
        assertThat(decide(true), is(KeyDecision.Action.UNAVAILABLE));
    }

    @Test
    void storedResponseIsReplayed() {
        StoredResponse response = new StoredResponse(200, "text/plain", new byte[] {1});
        RegisterReply reply = new RegisterReply(1, KeyStatus.ANSWERED, true, Optional.of(response));
        KeyDecision decision = KeyDecision.of(2, List.of(reply), false);
        assertThat(decision.response(), is(Optional.of(response)));
    }

    @Test
    void keyOfAnotherRequestIsRefused() {
        RegisterReply reply = new RegisterReply(1, KeyStatus.RUNNING, false, Optional.empty());
        assertThat(
                KeyDecision.of(2, List.of(reply), false).action(), is(KeyDecision.Action.REUSED));
    }

    private static KeyDecision.Action decide(boolean first, KeyStatus... statuses) {
        List<RegisterReply> replies =
                Arrays.stream(statuses)
                        .map(status -> new RegisterReply(1, status, true, Optional.empty()))
                        .toList();
        return KeyDecision.of(KeyHomes.HOMES, replies, first).action();
    }
}
