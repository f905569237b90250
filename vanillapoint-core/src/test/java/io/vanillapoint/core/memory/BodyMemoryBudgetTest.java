package io.vanillapoint.core.memory;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The sum of all request bodies stays within a part of the heap, and customers share it. */
class BodyMemoryBudgetTest {
    private static final long HEAP = 160_000_000;
    private static final long MEGABYTE = 1_000_000;
    private static final int STEPS = 20_000;

    private final BodyMemoryBudget budget = new BodyMemoryBudget(HEAP);

    /** Guards against a sum that exceeds the limit, and against memory that is never released. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void drawnArrivalsStayWithinTheLimitAndReleaseEverything(long seed) {
        Random random = new Random(seed);
        Map<BodyMemoryBudget.Reservation, Long> held = new HashMap<>();
        List<BodyMemoryBudget.Reservation> open = new ArrayList<>();
        long sum = 0;
        for (int step = 0; step < STEPS; step++) {
            int action = random.nextInt(4);
            if (action == 0 || open.isEmpty()) {
                open.add(budget.open("customer-" + random.nextInt(6)));
            } else if (action == 1) {
                BodyMemoryBudget.Reservation ended = open.remove(random.nextInt(open.size()));
                sum -= held.getOrDefault(ended, 0L);
                held.remove(ended);
                ended.release();
                ended.release();
            } else if (action == 2) {
                open.get(random.nextInt(open.size())).chargeTo("customer-" + random.nextInt(6));
            } else {
                BodyMemoryBudget.Reservation grown = open.get(random.nextInt(open.size()));
                long bytes = random.nextInt(random.nextBoolean() ? 60_000 : 4_000_000);
                if (grown.tryResize(bytes)) {
                    sum += bytes - held.getOrDefault(grown, 0L);
                    held.put(grown, bytes);
                }
            }
            assertThat(budget.heldBytes(), is(sum));
            assertThat(sum, lessThanOrEqualTo(budget.limitBytes()));
        }
        open.forEach(BodyMemoryBudget.Reservation::release);
        assertThat(budget.heldBytes(), is(0L));
        assertThat(budget.open("customer-1").tryResize(4 * MEGABYTE), is(true));
    }

    /** Guards against a budget that leaves no room for responses and the VM's own state. */
    @Test
    void limitLeavesTheLargerPartOfTheHeap() {
        assertThat(budget.limitBytes(), is(HEAP / 8 * 3));
    }

    /** Guards against refusals of the usual load: 30 prompts of 1.5 MB of one customer. */
    @Test
    void customerThatIsAloneMayHoldMostOfTheLimit() {
        assertThat(fill("alone", 1_500_000), greaterThan(29));
    }

    /** Guards against a customer that takes all memory before others arrive. */
    @Test
    void largeBodiesOfOneCustomerLeaveRoomForALargeBodyOfAnother() {
        fill("hot", 10_000);
        fill("hot", 2 * MEGABYTE);
        fill("hot", 100_000);
        assertThat(budget.open("other").tryResize(4 * MEGABYTE), is(true));
        assertThat(budget.open("hot").tryResize(100_000), is(false));
    }

    /** Guards against large bodies that leave no room for small requests. */
    @Test
    void largeBodiesOfManyCustomersLeaveRoomForSmallOnes() {
        for (int customer = 0; customer < 100; customer++) {
            fill("customer-" + customer, 70_000);
        }
        assertThat(budget.open("other").tryResize(70_000), is(false));
        assertThat(fill("small", BodyMemoryBudget.SMALL_BODY_BYTES), greaterThan(90));
    }

    /** Guards against chunked bodies that stay in the reserve for small ones as they grow. */
    @Test
    void bodyThatGrowsLeavesTheReserveForSmallOnes() {
        int usual = fill("small", 50_000);
        BodyMemoryBudget empty = new BodyMemoryBudget(HEAP);
        for (int i = 0; i < 20; i++) {
            BodyMemoryBudget.Reservation growing = empty.open("chunked");
            assertThat(growing.tryResize(50_000), is(true));
            assertThat(growing.tryResize(100_000), is(true));
        }
        int beside = 0;
        while (empty.open("small").tryResize(50_000)) {
            beside++;
        }
        assertThat(beside, greaterThan(usual - 20 * 3));
    }

    /** Guards against a resize that loses what was held when it does not fit. */
    @Test
    void resizeThatDoesNotFitChangesNothing() {
        BodyMemoryBudget.Reservation reservation = budget.open("customer");
        assertThat(reservation.tryResize(MEGABYTE), is(true));
        assertThat(reservation.tryResize(HEAP), is(false));
        assertThat(budget.heldBytes(), is(MEGABYTE));
    }

    /** Guards against late data of an ended request that is reserved and never released. */
    @Test
    void releasedReservationTakesNothingMore() {
        BodyMemoryBudget.Reservation reservation = budget.open("customer");
        reservation.release();
        assertThat(reservation.tryResize(1), is(false));
        assertThat(budget.heldBytes(), is(0L));
    }

    /** Requests without a body need no memory, so they are never refused for it. */
    @Test
    void emptyBodyAlwaysFits() {
        fill("customer", 1_000);
        assertThat(budget.open("customer").tryResize(0), is(true));
    }

    private int fill(String customer, long bytes) {
        int count = 0;
        while (budget.open(customer).tryResize(bytes)) {
            count++;
        }
        return count;
    }
}
