package io.vanillapoint.core.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.vanillapoint.core.routing.RoutingSimulation.Result;
import org.junit.jupiter.api.Test;

/** Choice of upstream and region under load, compared with simpler policies in simulation. */
class RoutingSimulationTest {
    private static final long RUN_MILLIS = 300_000;
    private static final int SEEDS = 3;
    private static final int PREFIXES = 60;
    private static final double QUIET_PER_SECOND = 8;
    private static final double BUSY_PER_SECOND = 36;

    @Test
    void prefixAffinityHasMoreCacheHitsThanRoundRobin() {
        for (long lag : new long[] {100, 1_000, 5_000}) {
            double affinity = 0;
            double roundRobin = 0;
            for (UpstreamPolicies policy : UpstreamPolicies.values()) {
                double hitRatio = 0;
                for (int seed = 1; seed <= SEEDS; seed++) {
                    Result result =
                            new RoutingSimulation(seed, policy, SpillRule.never(), lag)
                                    .run(RUN_MILLIS, 14, 14, PREFIXES);
                    hitRatio += result.cacheHitRatio() / SEEDS;
                    print(policy.policyName() + ", reports " + lag + " ms late", seed, result);
                }
                affinity = policy == UpstreamPolicies.PREFIX_AFFINITY ? hitRatio : affinity;
                roundRobin = policy == UpstreamPolicies.ROUND_ROBIN ? hitRatio : roundRobin;
            }
            assertThat(affinity, greaterThan(roundRobin));
        }
    }

    @Test
    void onlyBusyRegionsForwardRequestsToOtherRegions() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            Result stays = run(seed, SpillRule.never(), BUSY_PER_SECOND);
            Result spills = run(seed, SpillRule.defaults(), BUSY_PER_SECOND);
            Result quiet = run(seed, SpillRule.defaults(), QUIET_PER_SECOND);
            print("never spill, one region busy", seed, stays);
            print("spill, one region busy", seed, spills);
            print("spill, all quiet", seed, quiet);
            assertThat(spills.p95(), lessThan(stays.p95()));
            assertThat(quiet.forwardRatio(), is(0.0));
        }
    }

    /**
     * The users weigh latency against cross-region traffic differently; the penalty controls it.
     */
    @Test
    void largerPenaltyForwardsFewerRequests() {
        double lowPenalty = 0;
        double highPenalty = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            Result low = run(seed, new SpillRule(1.25, 0), BUSY_PER_SECOND);
            Result high = run(seed, new SpillRule(2.0, 1.0), BUSY_PER_SECOND);
            print("spill at 1.25, penalty 0", seed, low);
            print("spill at 2.0, penalty 1", seed, high);
            lowPenalty += low.forwardRatio();
            highPenalty += high.forwardRatio();
        }
        assertThat(highPenalty, lessThan(lowPenalty));
    }

    private static Result run(int seed, SpillRule spill, double perSecond) {
        return new RoutingSimulation(seed, UpstreamPolicies.PREFIX_AFFINITY, spill, 1_000)
                .run(RUN_MILLIS, perSecond, QUIET_PER_SECOND, PREFIXES);
    }

    private static void print(String what, int seed, Result result) {
        System.out.printf("%-42s seed %d: %s%n", what, seed, result);
    }
}
