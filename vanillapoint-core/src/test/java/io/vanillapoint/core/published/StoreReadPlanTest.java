package io.vanillapoint.core.published;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vanillapoint.core.published.StoreReadPlan.Call;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Order and pauses of the calls to the store. */
class StoreReadPlanTest {
    private static final int VMS = 80;
    private final StoreReadPlan plan = new StoreReadPlan(() -> 0.5);

    @Test
    void startIsAListingOfAllValues() {
        assertThat(plan.next(0), is(Call.LIST_ALL));
    }

    /** Guards against a watch that is repeated from the same revision. */
    @Test
    void ordersAreListedBeforeAllValuesAfterAWatchThatWouldFailAgain() {
        plan.allListed();
        assertThat(plan.failed(Call.WATCH, true, 0), is(greaterThan(0L)));
        assertThat(plan.next(200), is(Call.LIST_ORDERS));
        plan.ordersListed(210);
        assertThat(plan.next(210), is(Call.LIST_ALL));
        assertThat(plan.next(1_210), is(Call.LIST_ORDERS));
    }

    /** Guards against orders that can't be listed in the way of replicas, and the reverse. */
    @Test
    void failedPageOfOneListingLeadsToTheOther() {
        plan.allListed();
        plan.listingNeeded(0);
        plan.failed(Call.LIST_ORDERS, true, 0);
        assertThat(plan.next(200), is(Call.LIST_ALL));
        plan.failed(Call.LIST_ALL, true, 200);
        assertThat(plan.next(600), is(Call.LIST_ORDERS));
    }

    @Test
    void watchIsRepeatedAfterAPauseIfTheStoreIsDown() {
        plan.allListed();
        assertThat(plan.failed(Call.WATCH, false, 0), is(greaterThan(0L)));
        assertThat(plan.next(200), is(Call.WATCH));
    }

    @Test
    void pausesGrowToASecond() {
        long pause = 0;
        for (int i = 0; i < 10; i++) {
            pause = plan.failed(Call.LIST_ALL, false, 0);
        }
        assertThat(pause, is(1_000L));
    }

    /** Guards against VMs that lose their connections together and return together. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void reconnectsOfManyVmsAreSpread(long seed) {
        Random random = new Random(seed);
        List<Long> pauses = new ArrayList<>();
        for (int i = 0; i < VMS; i++) {
            StoreReadPlan vm = new StoreReadPlan(random::nextDouble);
            vm.allListed();
            pauses.add(vm.failed(Call.WATCH, false, 0));
        }
        for (long start : pauses) {
            long together = pauses.stream().filter(p -> p >= start && p < start + 20).count();
            assertThat("calls within 20 ms", together, is(lessThanOrEqualTo(VMS / 4L)));
        }
    }

    @Test
    void pagesOfAListingThatRepeatAreRefused() {
        StoreListing listing = new StoreListing();
        StorePage page =
                new StorePage(
                        new StorePosition(1, 1),
                        List.of(new StoredItem("k", 1, false, new byte[0])),
                        true);
        assertThat(listing.add(page), is(Optional.empty()));
        assertThat(listing.add(page), is(Optional.empty()));
        assertThat(listing.add(page).isPresent(), is(true));
    }

    @Test
    void pagesOfDifferentErasAreRefused() {
        StoreListing listing = new StoreListing();
        StoredItem item = new StoredItem("k", 1, false, new byte[0]);
        listing.add(new StorePage(new StorePosition(1, 1), List.of(item), true));
        assertThat(
                listing.add(new StorePage(new StorePosition(2, 1), List.of(), false)).isPresent(),
                is(true));
    }

    /** Guards against an evacuation that is kept after its end, and a replica taken for removed. */
    @Test
    void listingOfAPartRemovesOnlyKeysOfThatPart() {
        PublishedTable table = new PublishedTable(CopyLimits.ofHeap(1 << 30));
        table.merge(
                new StoreChanges(
                        new StorePosition(1, 2),
                        true,
                        List.of(
                                new StoredItem("op/evacuate/a", 1, false, new byte[0]),
                                new StoredItem("servers/b", 2, false, new byte[0]))));
        List<StoredItem> changed =
                table.mergePart(
                        new StoreChanges(new StorePosition(1, 9), true, List.of()),
                        key -> key.startsWith("op/"));
        assertThat(changed.stream().map(StoredItem::key).toList(), is(List.of("op/evacuate/a")));
        assertThat(table.position(), is(new StorePosition(1, 2)));
    }
}
