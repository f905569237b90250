package io.vanillapoint.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;

import io.vanillapoint.api.model.TokenGrant;
import io.vanillapoint.core.time.ClockReading;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Transfers of tokens whose replies are delayed, repeated and reordered. A reply that arrives in
 * time adds exactly the tokens that it brings, and any other adds none.
 */
class TransferTest {
    private static final TokenGrant GRANT = new TokenGrant(1e-6, 1_000);
    private static final long STEP_MILLIS = 10;
    private static final long END_MILLIS = 200_000;
    private static final long TIMEOUT_MILLIS = 1_000;
    private static final int MAX_DELAY_MILLIS = 2_500;
    private static final double TOLERANCE = 0.01;

    private final PriorityQueue<Reply> replies =
            new PriorityQueue<>(Comparator.comparingLong(Reply::atMillis));
    private final Map<Long, Long> startedAtMillis = new HashMap<>();
    private final Set<Long> received = new HashSet<>();
    private CustomerBucket bucket;
    private long lastId;
    private double inTime;
    private double addedInTime;
    private double addedLate;
    private double addedTwice;

    @ParameterizedTest
    @ValueSource(
            ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22})
    void replyOfAnotherTransferNeitherMakesNorLosesTokens(int seed) {
        Random random = new Random(seed);
        bucket = new CustomerBucket(GRANT, 1, ClockReading.monotonic(0));
        bucket.updateShare(1, ClockReading.monotonic(0), 0);
        for (long now = 0; now < END_MILLIS; now += STEP_MILLIS) {
            while (!replies.isEmpty() && replies.peek().atMillis() <= now) {
                receive(now, replies.poll());
            }
            bucket.tokenBucket().takeUpTo(random.nextInt(20));
            request(now, random);
        }
        assertThat(inTime, greaterThan(0.0));
        double lost = inTime - addedInTime;
        String summary =
                String.format(
                        Locale.ROOT,
                        "of %.1f tokens in time: lost %.1f; added twice %.1f, late %.1f",
                        inTime,
                        lost,
                        addedTwice,
                        addedLate);
        assertThat(summary, lost, closeTo(0, TOLERANCE));
        assertThat(summary, addedTwice, closeTo(0, TOLERANCE));
        assertThat(summary, addedLate, closeTo(0, TOLERANCE));
    }

    private void request(long now, Random random) {
        double wanted = start(now, lastId + 1);
        if (wanted <= 0) {
            return;
        }
        long id = ++lastId;
        startedAtMillis.put(id, now);
        double granted = random.nextInt(4) == 0 ? 0 : wanted * random.nextDouble();
        int copies = 1 + random.nextInt(2);
        for (int i = 0; i < copies; i++) {
            replies.add(new Reply(now + 1 + random.nextInt(MAX_DELAY_MILLIS), id, granted));
        }
    }

    private void receive(long now, Reply reply) {
        double before = bucket.tokenBucket().level();
        complete(now, reply.id(), reply.tokens());
        double added = bucket.tokenBucket().level() - before;
        if (!received.add(reply.id())) {
            addedTwice += added;
        } else if (now - startedAtMillis.get(reply.id()) < TIMEOUT_MILLIS) {
            inTime += reply.tokens();
            addedInTime += added;
        } else {
            addedLate += added;
        }
    }

    private double start(long now, long id) {
        return bucket.startTransfer(ClockReading.monotonic(now), id);
    }

    private void complete(long now, long id, double tokens) {
        bucket.completeTransfer(ClockReading.monotonic(now), id, tokens);
    }

    private record Reply(long atMillis, long id, double tokens) {}
}
