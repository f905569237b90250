package io.vanillapoint.core.limit;

import io.vanillapoint.api.model.TokenGrant;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * No combination of faults lets a customer exceed its rate and burst across all VMs. {@link
 * VirtualFleet} asserts this at each grant, and at each step that the shares add up to at most 1.
 */
class RateAndBurstProperties {
    private static final TokenGrant GRANT = new TokenGrant(100, 300);
    private static final int VMS_PER_REGION = 3;
    private static final long WARM_UP_MILLIS = 12_000;

    @Property(tries = 500, seed = "20261203")
    void holdsUnderFaultsWithDelegation(
            @ForAll("actions") List<FaultAction> actions, @ForAll int seed) {
        run(SharePolicy.DELEGATED, actions, seed);
    }

    @Property(tries = 100, seed = "20261204")
    void holdsUnderFaultsWithoutDelegation(
            @ForAll("actions") List<FaultAction> actions, @ForAll int seed) {
        run(SharePolicy.NO_DELEGATION, actions, seed);
    }

    @Provide
    Arbitrary<List<FaultAction>> actions() {
        Arbitrary<FaultAction> action =
                Combinators.combine(
                                kinds(),
                                Arbitraries.integers().between(0, 999),
                                Arbitraries.integers().between(0, 999))
                        .as(FaultAction::new);
        return action.list().ofMinSize(20).ofMaxSize(80);
    }

    private static Arbitrary<FaultAction.Kind> kinds() {
        Arbitrary<FaultAction.Kind> faults = Arbitraries.of(FaultAction.Kind.class);
        Arbitrary<FaultAction.Kind> faultFree =
                Arbitraries.of(
                        FaultAction.Kind.WAIT, FaultAction.Kind.SHORT_WAIT, FaultAction.Kind.BURST);
        return Arbitraries.oneOf(List.of(faults, faultFree));
    }

    static void run(SharePolicy policy, List<FaultAction> actions, long seed) {
        LimitTiming timing = LimitTiming.defaults();
        VirtualFleet fleet = new VirtualFleet(seed, policy, timing, GRANT);
        VirtualFleet.REGIONS.forEach(
                region -> {
                    for (int i = 0; i < VMS_PER_REGION; i++) {
                        fleet.addVm(region);
                    }
                });
        fleet.lossRate = 0.05;
        fleet.delayRate = 0.02;
        fleet.duplicateRate = 0.05;
        if (seed % 2 == 0) {
            fleet.advance(WARM_UP_MILLIS);
        }
        actions.forEach(action -> action.run(fleet));
    }
}
