package io.vanillapoint.core.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which prompt parts are withheld after which crashes, on one VM. */
class PromptQuarantineTest {
    private static final long SYSTEM = 100;
    private static final long SESSION = 200;
    private static final long BAD = 666;
    private static final long CUSTOMER = 7;
    private static final long OTHER_CUSTOMER = 8;
    private static final Predicate<Set<Long>> NEVER = parts -> false;
    private static final Predicate<Set<Long>> ALWAYS = parts -> true;
    private static final long SECOND = 1_000;
    private static final long MINUTE = 60 * SECOND;

    private final RecordingListener listener = new RecordingListener();
    private final PromptQuarantine quarantine = new PromptQuarantine(listener, 1);
    private long now = 10 * MINUTE;
    private long nextCrash = 1;

    @Test
    void partThatCrashesTwoEnginesIsWithheld() {
        crash(started(CUSTOMER, SYSTEM, BAD, 1));
        assertThat(withheld(CUSTOMER, SYSTEM, BAD, 2), is(false));
        crash(started(CUSTOMER, SYSTEM, BAD, 2));
        assertThat(withheld(CUSTOMER, SYSTEM, BAD, 3), is(true));
    }

    @Test
    void partsThatHaveSucceededAreNotWithheldWithTheOneThatCrashes() {
        quarantine.recordSuccess(List.of(SYSTEM, SESSION), now);
        crash(started(CUSTOMER, SYSTEM, SESSION, BAD));
        crash(started(CUSTOMER, SYSTEM, SESSION, BAD));
        assertThat(withheld(CUSTOMER, SYSTEM, SESSION), is(false));
        assertThat(withheld(CUSTOMER, SYSTEM, BAD), is(true));
        assertThat(listener.held, contains(Set.of(BAD)));
    }

    /** Only requests with all parts are withheld until a crash or a success tells them apart. */
    @Test
    void partsThatWereAlwaysTogetherAreWithheldTogetherOnly() {
        crash(started(CUSTOMER, SESSION, BAD));
        crash(started(CUSTOMER, SESSION, BAD));
        assertThat(withheld(CUSTOMER, SESSION), is(false));
        assertThat(withheld(CUSTOMER, BAD), is(false));
        quarantine.recordSuccess(List.of(SESSION), now);
        assertThat(withheld(CUSTOMER, BAD), is(true));
        assertThat(withheld(CUSTOMER, SESSION), is(false));
    }

    @Test
    void nextCrashTellsPartsThatWereTogetherApart() {
        crash(started(CUSTOMER, SESSION, BAD));
        crash(started(CUSTOMER, SESSION, BAD));
        crash(started(CUSTOMER, BAD, 3));
        assertThat(withheld(CUSTOMER, BAD, 4), is(true));
        assertThat(withheld(CUSTOMER, SESSION, 4), is(false));
    }

    @Test
    void crashOfManyEnginesAtOnceIsEvidenceAgainstNoPart() {
        for (int i = 0; i < 10; i++) {
            crashAtOnce(started(CUSTOMER, SYSTEM, SESSION));
        }
        assertThat(withheld(CUSTOMER, SYSTEM, SESSION), is(false));
    }

    /** Guards against batches of requests that crash engines again and again. */
    @Test
    void partThatCrashesEnginesAtOnceIsWithheldIfNothingElseExplainsIt() {
        quarantine.recordSuccess(List.of(SYSTEM, SESSION), now);
        for (int i = 0; i < 4; i++) {
            assertThat(withheld(CUSTOMER, SYSTEM, SESSION, BAD), is(false));
            crashAtOnce(waiting(CUSTOMER, SYSTEM, SESSION, BAD), waiting(CUSTOMER, SYSTEM));
        }
        assertThat(withheld(CUSTOMER, SYSTEM, SESSION, BAD), is(true));
        assertThat(withheld(CUSTOMER, SYSTEM, SESSION), is(false));
    }

    @Test
    void partThatCrashesEnginesAtOnceInRequestsOfDifferentSessionsIsWithheld() {
        quarantine.recordSuccess(List.of(SYSTEM), now);
        for (int i = 0; i < 4; i++) {
            crashAtOnce(waiting(CUSTOMER, SYSTEM, 1_000 + i, BAD));
        }
        assertThat(withheld(CUSTOMER, SYSTEM, 1_005, BAD), is(true));
        assertThat(withheld(CUSTOMER, SYSTEM, 1_000), is(false));
    }

    @Test
    void crashOfManyEnginesAtOnceIsNoEvidenceAgainstAPartThatHasSucceeded() {
        quarantine.recordSuccess(List.of(SYSTEM), now);
        for (int i = 0; i < 10; i++) {
            crashAtOnce(started(CUSTOMER, SYSTEM, 1_000 + i), started(CUSTOMER, 2_000 + i));
        }
        assertThat(withheld(CUSTOMER, SYSTEM), is(false));
        assertThat(withheld(CUSTOMER, SYSTEM, 1_000), is(false));
    }

    @Test
    void partThatSucceedsBetweenCrashesIsNotWithheld() {
        for (int i = 0; i < 20; i++) {
            crash(started(CUSTOMER, SYSTEM, 1_000 + i));
            quarantine.recordSuccess(List.of(SYSTEM), now);
        }
        assertThat(withheld(CUSTOMER, SYSTEM), is(false));
    }

    @Test
    void partThatTurnsHarmfulAfterItHasSucceededIsWithheldAfterFiveCrashes() {
        quarantine.recordSuccess(List.of(SYSTEM), now);
        for (int i = 0; i < 4; i++) {
            crash(started(CUSTOMER, SYSTEM, 1_000 + i));
        }
        assertThat(withheld(CUSTOMER, SYSTEM), is(false));
        crash(started(CUSTOMER, SYSTEM, 1_004));
        assertThat(withheld(CUSTOMER, SYSTEM), is(true));
    }

    /** Guards against one customer's prompts that make everybody's proven parts look new. */
    @Test
    void successesOfAPartAreKnownBesideThoseOfVeryManyOthers() {
        for (int i = 0; i < 3; i++) {
            now += SECOND;
            quarantine.recordSuccess(List.of(SYSTEM), now);
        }
        for (int i = 0; i < 20; i++) {
            now += SECOND;
            quarantine.recordSuccess(
                    LongStream.range(0, 1_650)
                            .map(part -> 10_000 + 1_650L * (now / SECOND) + part)
                            .boxed()
                            .toList(),
                    now);
        }
        for (int i = 0; i < 4; i++) {
            crash(started(CUSTOMER, SYSTEM, 1_000 + i));
        }
        assertThat(withheld(CUSTOMER, SYSTEM), is(false));
    }

    /** A caller chooses how many parts its prompt has; only some of them are kept. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void partIsFoundAmongManyThatAreNew(long seed) {
        PromptQuarantine seeded = new PromptQuarantine(listener, seed);
        Random random = new Random(seed);
        int crashes = 0;
        List<Long> parts = promptWithManyNewParts(random);
        while (seeded.check(parts, CUSTOMER, NEVER, now).isEmpty()) {
            now += SECOND;
            crashes++;
            SuspectRequest request =
                    new SuspectRequest(
                            crashes, AttemptStage.STARTED, CUSTOMER, seeded.evidenceParts(parts));
            seeded.recordCrash(List.of(request), now);
            parts = promptWithManyNewParts(random);
        }
        assertThat(crashes, is(lessThanOrEqualTo(8)));
    }

    private static List<Long> promptWithManyNewParts(Random random) {
        List<Long> parts = new ArrayList<>(random.longs(16).boxed().toList());
        parts.add(12, BAD);
        return parts;
    }

    /** Two other requests had just started as well at one crash each. */
    @Test
    void requestsThatStartedAtTheSameTimeAreNotWithheld() {
        crash(started(CUSTOMER, BAD, 1), started(OTHER_CUSTOMER, 21, 22));
        crash(started(CUSTOMER, BAD, 2), started(OTHER_CUSTOMER, 31, 32));
        crash(started(CUSTOMER, BAD, 3));
        assertThat(withheld(CUSTOMER, BAD, 9), is(true));
        assertThat(withheld(OTHER_CUSTOMER, 21, 22), is(false));
        assertThat(withheld(OTHER_CUSTOMER, 31, 32), is(false));
    }

    @Test
    void requestsThatWaitedCountLessThanTheOneThatHadStarted() {
        for (int i = 0; i < 3; i++) {
            crash(
                    started(CUSTOMER, BAD, 1_000 + i),
                    new SuspectRequest(
                            nextCrash, AttemptStage.WAITING, OTHER_CUSTOMER, List.of(SESSION)));
        }
        assertThat(withheld(CUSTOMER, BAD), is(true));
        assertThat(withheld(OTHER_CUSTOMER, SESSION), is(false));
    }

    /** The engine's head may be lost with its connection. */
    @Test
    void partIsWithheldAfterFourCrashesIfItsRequestsOnlyWaited() {
        for (int i = 0; i < 4; i++) {
            assertThat(withheld(CUSTOMER, BAD), is(false));
            crash(
                    new SuspectRequest(
                            nextCrash, AttemptStage.WAITING, CUSTOMER, List.of(BAD, 1_000L + i)),
                    new SuspectRequest(
                            nextCrash, AttemptStage.WAITING, CUSTOMER, List.of(2_000L + i)));
        }
        assertThat(withheld(CUSTOMER, BAD), is(true));
    }

    /** A customer mixes another customer's part with a new harmful part each time. */
    @Test
    void customerCannotHaveAnotherCustomersPartWithheld() {
        for (int i = 0; i < 20; i++) {
            crash(started(CUSTOMER, SESSION, 1_000 + i));
        }
        assertThat(withheld(CUSTOMER, SESSION, 5), is(true));
        assertThat(withheld(OTHER_CUSTOMER, SESSION), is(false));
        quarantine.recordSuccess(List.of(SESSION), now);
        assertThat(withheld(CUSTOMER, SESSION, 5), is(false));
    }

    @Test
    void partThatCrashesEnginesForTwoCustomersIsWithheldForAll() {
        crash(started(CUSTOMER, BAD, 1));
        crash(started(CUSTOMER, BAD, 2));
        assertThat(withheld(OTHER_CUSTOMER, BAD, 3), is(false));
        crash(started(OTHER_CUSTOMER, BAD, 3));
        assertThat(withheld(OTHER_CUSTOMER, BAD, 4), is(true));
        assertThat(withheld(9, BAD, 5), is(true));
    }

    @Test
    void holdEndsOnlyWhenItsRequestsHaveStopped() {
        crash(started(CUSTOMER, BAD, 1));
        crash(started(CUSTOMER, BAD, 2));
        for (int i = 0; i < 20; i++) {
            now += 4 * MINUTE;
            quarantine.prune(now);
            assertThat(withheld(CUSTOMER, BAD, 3), is(true));
        }
        now += 6 * MINUTE;
        quarantine.prune(now);
        assertThat(withheld(CUSTOMER, BAD, 3), is(false));
        assertThat(listener.released, contains(Set.of(BAD)));
    }

    @Test
    void oneCrashIsEnoughAfterAHoldHasEnded() {
        crash(started(CUSTOMER, BAD, 1));
        crash(started(CUSTOMER, BAD, 2));
        now += 6 * MINUTE;
        quarantine.prune(now);
        crash(started(CUSTOMER, BAD, 3));
        assertThat(withheld(CUSTOMER, BAD, 4), is(true));
    }

    @Test
    void atMostThreeRequestsAreLetThroughAsTests() {
        crash(started(CUSTOMER, BAD, 1));
        crash(started(CUSTOMER, BAD, 2));
        int sent = 0;
        for (int i = 0; i < 48 * 60; i++) {
            now += MINUTE;
            quarantine.prune(now);
            if (quarantine.takeSend(List.of(BAD), CUSTOMER, ALWAYS, now)) {
                sent++;
                crash(started(CUSTOMER, BAD));
            }
        }
        assertThat(sent, is(3));
    }

    @Test
    void refusalTellsWhenTheHoldIsTested() {
        crash(started(CUSTOMER, BAD, 1));
        crash(started(CUSTOMER, BAD, 2));
        now += 20 * SECOND;
        long retryAfter =
                quarantine
                        .check(List.of(BAD, 3L), CUSTOMER, NEVER, now)
                        .orElseThrow()
                        .retryAfterMillis();
        assertThat(retryAfter, is(MINUTE - 20 * SECOND));
    }

    @Test
    void holdReportedByAnotherVmIsRefutedByALaterSuccess() {
        PromptHold hold = new PromptHold(Set.of(SESSION), 0, MINUTE, 0, 0);
        quarantine.merge(new QuarantineReport(List.of(hold), List.of(), List.of()), now);
        assertThat(withheld(CUSTOMER, SESSION), is(true));
        PartSuccess success = new PartSuccess(SESSION, SECOND);
        quarantine.merge(new QuarantineReport(List.of(), List.of(), List.of(success)), now);
        assertThat(withheld(CUSTOMER, SESSION), is(false));
        quarantine.merge(new QuarantineReport(List.of(hold), List.of(), List.of()), now);
        assertThat(withheld(CUSTOMER, SESSION), is(false));
    }

    /** A caller chooses the ids and the number of its parts. */
    @Test
    void stateIsBoundedWhateverPartsCrash() {
        for (int i = 0; i < 2_000; i++) {
            crash(started(i, 10_000 + i, 20_000 + i, 30_000 + i));
            crash(started(i, 10_000 + i, 20_000 + i, 30_000 + i));
        }
        assertThat(quarantine.holdCount(), is(lessThanOrEqualTo(32)));
        assertThat(quarantine.report(now).evidence().size(), is(lessThanOrEqualTo(256)));
        now += 11 * MINUTE;
        quarantine.prune(now);
        assertThat(quarantine.holdCount(), is(0));
        assertThat(quarantine.report(now).evidence(), is(empty()));
    }

    private boolean withheld(long customer, long... parts) {
        return quarantine.check(list(parts), customer, NEVER, now).isPresent();
    }

    private SuspectRequest started(long customer, long... parts) {
        return new SuspectRequest(nextCrash, AttemptStage.STARTED, customer, list(parts));
    }

    private SuspectRequest waiting(long customer, long... parts) {
        return new SuspectRequest(nextCrash, AttemptStage.WAITING, customer, list(parts));
    }

    private void crash(SuspectRequest... requests) {
        now += SECOND;
        crashAtOnce(requests);
    }

    private void crashAtOnce(SuspectRequest... requests) {
        nextCrash++;
        quarantine.recordCrash(List.of(requests), now);
    }

    private static List<Long> list(long... parts) {
        List<Long> list = new ArrayList<>();
        for (long part : parts) {
            list.add(part);
        }
        return list;
    }

    /** Records holds by their parts. */
    private static final class RecordingListener implements QuarantineListener {
        private final List<Set<Long>> held = new ArrayList<>();
        private final List<Set<Long>> released = new ArrayList<>();

        @Override
        public void held(PromptHold hold, boolean reported) {
            held.add(hold.parts());
        }

        @Override
        public void released(Set<Long> parts, ReleaseReason reason) {
            released.add(parts);
        }
    }
}
