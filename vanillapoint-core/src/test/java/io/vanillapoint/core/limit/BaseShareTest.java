package io.vanillapoint.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.api.model.CustomerId;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.TokenGrant;
import io.vanillapoint.core.limit.VirtualFleet.Node;
import org.junit.jupiter.api.Test;

/**
 * Tests the rules listed in {@link RegionAuthority}, each under the fault that it guards against.
 */
class BaseShareTest {
    private static final TokenGrant GRANT = new TokenGrant(100, 300);
    private static final RegionId REGION = VirtualFleet.REGIONS.get(0);
    private static final CustomerId CUSTOMER = VirtualFleet.CUSTOMERS.get(0);
    private static final long WARM_UP_MILLIS = 8_000;

    @Test
    void sharesAddUpToOneWhenAllAreActive() {
        VirtualFleet fleet = fleet(LimitTiming.defaults());
        fleet.addVm(REGION);
        fleet.addVm(REGION);
        fleet.addVm(REGION);
        fleet.advance(WARM_UP_MILLIS);
        double sum =
                fleet.nodes.values().stream()
                        .mapToDouble(node -> node.authority.shareOf(node.clock(), CUSTOMER))
                        .sum();
        assertThat(sum, closeTo(1, 1e-9));
    }

    @Test
    void onlyVmOfARegionTakesTheCompleteShare() {
        VirtualFleet fleet = fleet(LimitTiming.defaults());
        Node node = fleet.addVm(REGION);
        fleet.advance(WARM_UP_MILLIS);
        assertThat(node.authority.baseShare(), is(1.0));
    }

    /** Leases granted before the restart may still be in use, so the VM must wait for their end. */
    @Test
    void restartedVmWaitsUntilItsEarlierLeasesExpire() {
        VirtualFleet fleet = fleet(LimitTiming.defaults().withListLagMillis(0));
        Node restarted = fleet.addVm(REGION);
        fleet.addVm(REGION);
        fleet.advance(WARM_UP_MILLIS);
        restarted.kill();
        restarted.start();
        fleet.advance(1_900);
        assertThat(restarted.authority.isActive(), is(false));
        fleet.advance(2_000);
        assertThat(restarted.authority.isActive(), is(true));
    }

    /**
     * A restarted VM reads a stale list from before another VM was added, and can't reach that VM.
     * It must wait for a list read after the maximum lag, or it would take the complete share while
     * the other VM holds half.
     */
    @Test
    void restartedVmWithAStaleListStaysInactive() {
        VirtualFleet fleet = fleet(LimitTiming.defaults());
        Node restarted = fleet.addVm(REGION);
        fleet.advance(WARM_UP_MILLIS);
        Node other = fleet.addVm(REGION);
        fleet.advance(3_000);
        assertThat(other.authority.isActive(), is(true));
        restarted.kill();
        fleet.blockLink(restarted.id, other.id);
        fleet.blockLink(other.id, restarted.id);
        restarted.listAgeMillis = 5_000;
        restarted.start();
        fleet.advance(WARM_UP_MILLIS);
        assertThat(restarted.authority.isActive(), is(false));
    }

    @Test
    void shareOfADeadVmIsReassignedAfterItsRemovalFromTheList() {
        VirtualFleet fleet = fleet(LimitTiming.defaults());
        Node remaining = fleet.addVm(REGION);
        Node killed = fleet.addVm(REGION);
        fleet.advance(WARM_UP_MILLIS);
        killed.kill();
        fleet.advance(WARM_UP_MILLIS);
        assertThat(remaining.authority.shareOf(remaining.clock(), CUSTOMER), closeTo(0.5, 1e-9));
        fleet.removeFromList(killed.id);
        fleet.advance(WARM_UP_MILLIS);
        assertThat(remaining.authority.shareOf(remaining.clock(), CUSTOMER), closeTo(1, 1e-9));
    }

    @Test
    void leasesExpireWhileTheirHolderIsSuspended() {
        VirtualFleet fleet = fleet(LimitTiming.defaults());
        fleet.addVm(REGION);
        fleet.addVm(REGION);
        fleet.advance(WARM_UP_MILLIS);
        Node holder =
                fleet.nodes.values().stream()
                        .filter(node -> node.authority.shareOf(node.clock(), CUSTOMER) == 1.0)
                        .findFirst()
                        .orElseThrow();
        holder.suspend(5_000);
        fleet.advance(4_900);
        assertThat(holder.authority.shareOf(holder.clock(), CUSTOMER), closeTo(0.5, 1e-9));
    }

    private static VirtualFleet fleet(LimitTiming timing) {
        return new VirtualFleet(1, SharePolicy.DELEGATED, timing, GRANT);
    }
}
