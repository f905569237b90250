package io.vanillapoint.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vanillapoint.api.model.CustomerId;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.TokenGrant;
import io.vanillapoint.api.model.VmId;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Traffic within a customer's rate is not refused; compares the share policies under it. */
class WrongfulRefusalTest {
    private static final TokenGrant GRANT = new TokenGrant(100, 300);
    private static final long WARM_UP_MILLIS = 20_000;
    private static final int ROUNDS = 600;
    private static final long ROUND_MILLIS = 500;

    @Test
    void nothingWithinTheRateIsRefusedWithoutFaults() {
        for (EntrySelection selection : EntrySelection.values()) {
            Outcome outcome = run(SharePolicy.DELEGATED, selection, false);
            report(SharePolicy.DELEGATED, selection, false, outcome);
            assertThat(selection.name(), outcome.refused(), is(0));
        }
    }

    @Test
    void refusalsAfterAVmFailureAreAtMostItsShare() {
        Outcome outcome = run(SharePolicy.DELEGATED, EntrySelection.EVEN, true);
        report(SharePolicy.DELEGATED, EntrySelection.EVEN, true, outcome);
        double failedVmShare = 1.0 / 6;
        assertThat(outcome.refusedFraction(), lessThanOrEqualTo(failedVmShare));
    }

    @Test
    void delegationRefusesLessThanTheBaselines() {
        Outcome delegated = run(SharePolicy.DELEGATED, EntrySelection.ONE_REGION, false);
        Outcome staticSplit = run(SharePolicy.STATIC_SPLIT, EntrySelection.ONE_REGION, false);
        Outcome undelegated = run(SharePolicy.NO_DELEGATION, EntrySelection.ONE_REGION, false);
        report(SharePolicy.STATIC_SPLIT, EntrySelection.ONE_REGION, false, staticSplit);
        report(SharePolicy.NO_DELEGATION, EntrySelection.ONE_REGION, false, undelegated);
        assertThat(delegated.refusedFraction(), lessThan(staticSplit.refusedFraction()));
        assertThat(
                delegated.remoteReservationsPerRequest(),
                lessThan(undelegated.remoteReservationsPerRequest()));
        assertThat(staticSplit.refused(), greaterThan(0));
    }

    /** Sends requests of 40 tokens at 96 tokens per second for each customer, whose rate is 100. */
    private static Outcome run(SharePolicy policy, EntrySelection selection, boolean oneVmFails) {
        VirtualFleet fleet = new VirtualFleet(7, policy, LimitTiming.defaults(), GRANT);
        fleet.unusedRate = 0;
        for (RegionId region : VirtualFleet.REGIONS) {
            for (int i = 0; i < 3; i++) {
                fleet.addVm(region);
            }
        }
        fleet.advance(WARM_UP_MILLIS);
        if (oneVmFails) {
            fleet.nodes.values().iterator().next().kill();
        }
        int requests = 0;
        double pendingTokens = 0;
        for (int round = 0; round < ROUNDS; round++) {
            pendingTokens += 96 * ROUND_MILLIS / 1_000.0;
            while (pendingTokens >= 40) {
                pendingTokens -= 40;
                for (CustomerId customer : VirtualFleet.CUSTOMERS) {
                    fleet.request(selection.entryVm(fleet, requests++), customer, 40);
                }
            }
            fleet.advance(ROUND_MILLIS);
        }
        fleet.advance(ROUND_MILLIS);
        return new Outcome(fleet.granted, fleet.refused, fleet.remoteReservations);
    }

    private static void report(
            SharePolicy policy, EntrySelection selection, boolean oneVmFails, Outcome outcome) {
        System.out.printf(
                "%-14s %-11s one VM failed: %-5s refused %.4f of %d, remote reservations per request %.2f%n",
                policy,
                selection,
                oneVmFails,
                outcome.refusedFraction(),
                outcome.granted() + outcome.refused(),
                outcome.remoteReservationsPerRequest());
    }

    /** VMs to which the callers send their requests. */
    private enum EntrySelection {
        EVEN,
        ONE_REGION,
        ONE_VM;

        private VmId entryVm(VirtualFleet fleet, int number) {
            List<VmId> alive = new ArrayList<>();
            for (VirtualFleet.Node node : fleet.nodes.values()) {
                if (node.isRunning()) {
                    alive.add(node.id);
                }
            }
            int choices =
                    switch (this) {
                        case EVEN -> alive.size();
                        case ONE_REGION -> 3;
                        case ONE_VM -> 1;
                    };
            return alive.get(number % choices);
        }
    }

    private record Outcome(int granted, int refused, long remoteReservations) {
        private double refusedFraction() {
            return refused / (double) (granted + refused);
        }

        private double remoteReservationsPerRequest() {
            return remoteReservations / (double) (granted + refused);
        }
    }
}
