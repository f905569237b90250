package io.vanillapoint.core.limit;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.TokenGrant;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Soak test of the limits on rate and burst: simulates random faults, one run after another, until
 * the time is over or an invariant is broken. Arguments: minutes and first seed. The seed of a run
 * that breaks an invariant is printed with the preceding events, and the exit code is 1.
 */
public final class RateSoak {
    private static final TokenGrant GRANT = new TokenGrant(100, 300);
    private static final List<FaultAction.Kind> FAULT_FREE =
            List.of(FaultAction.Kind.WAIT, FaultAction.Kind.SHORT_WAIT, FaultAction.Kind.BURST);
    private static final long REPORT_EVERY = 1_000;

    private RateSoak() {}

    /**
     * Runs until the time is over.
     *
     * @param args minutes, first seed
     */
    public static void main(String[] args) {
        double minutes = Double.parseDouble(args[0]);
        long firstSeed = Long.parseLong(args[1]);
        long end = System.nanoTime() + (long) (minutes * TimeUnit.MINUTES.toNanos(1));
        long seed = firstSeed;
        long granted = 0;
        long refused = 0;
        while (System.nanoTime() < end) {
            VirtualFleet fleet = run(seed);
            granted += fleet.granted;
            refused += fleet.refused;
            seed++;
            if ((seed - firstSeed) % REPORT_EVERY == 0) {
                report(seed - firstSeed, granted, refused);
            }
        }
        report(seed - firstSeed, granted, refused);
    }

    /** Executes one run of 20 to 79 random actions. */
    private static VirtualFleet run(long seed) {
        Random random = new Random(seed);
        VirtualFleet fleet =
                new VirtualFleet(seed, SharePolicy.DELEGATED, LimitTiming.defaults(), GRANT);
        for (RegionId region : VirtualFleet.REGIONS) {
            int vms = 2 + random.nextInt(2);
            for (int i = 0; i < vms; i++) {
                fleet.addVm(region);
            }
        }
        fleet.lossRate = 0.05;
        fleet.delayRate = 0.02;
        fleet.duplicateRate = 0.05;
        try {
            fleet.advance(random.nextBoolean() ? 12_000 : 0);
            int actions = 20 + random.nextInt(60);
            for (int i = 0; i < actions; i++) {
                action(random).run(fleet);
            }
        } catch (AssertionError e) {
            System.out.println("seed " + seed + ": " + e.getMessage());
            System.exit(1);
        }
        return fleet;
    }

    private static FaultAction action(Random random) {
        FaultAction.Kind[] kinds = FaultAction.Kind.values();
        FaultAction.Kind kind =
                random.nextBoolean()
                        ? kinds[random.nextInt(kinds.length)]
                        : FAULT_FREE.get(random.nextInt(FAULT_FREE.size()));
        return new FaultAction(kind, random.nextInt(1_000), random.nextInt(1_000));
    }

    private static void report(long runs, long granted, long refused) {
        System.out.printf(
                "%d runs, %d granted, %d refused, no violations%n", runs, granted, refused);
    }
}
