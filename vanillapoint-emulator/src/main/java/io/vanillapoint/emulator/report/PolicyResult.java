package io.vanillapoint.emulator.report;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Results of one policy over many seeds. Confined to one thread. */
public final class PolicyResult {
    private static final double PER_THOUSAND = 1_000;
    private static final double PER_MILLION = 1_000_000;

    private final String policy;
    private final List<RunResult> runs = new ArrayList<>();

    /**
     * Creates a result without runs.
     *
     * @param policy name for tables
     */
    public PolicyResult(String policy) {
        this.policy = policy;
    }

    /**
     * Adds a run.
     *
     * @param run result of the run
     */
    public void add(RunResult run) {
        runs.add(run);
    }

    /**
     * Name of the policy.
     *
     * @return name
     */
    public String policy() {
        return policy;
    }

    /**
     * Earned fraction of the worth in each run.
     *
     * @return values from 0 to 1, sorted ascending
     */
    public List<Double> worth() {
        List<Double> worth = new ArrayList<>();
        runs.forEach(run -> worth.add(run.all().worth()));
        Collections.sort(worth);
        return worth;
    }

    /**
     * Mean of {@link #worth}.
     *
     * @return from 0 to 1
     */
    public double meanWorth() {
        return worth().stream().mapToDouble(Double::doubleValue).average().orElse(0);
    }

    /**
     * Mean number of shared prompt tokens that the engines prefilled in a run.
     *
     * @return thousands of tokens
     */
    public double sharedKilotokens() {
        return runs.stream().mapToLong(RunResult::prefilledSharedTokens).average().orElse(0)
                / PER_THOUSAND;
    }

    /**
     * Mean number of bytes sent between regions in a run.
     *
     * @return megabytes
     */
    public double crossRegionMegabytes() {
        return runs.stream().mapToLong(RunResult::crossRegionBytes).average().orElse(0)
                / PER_MILLION;
    }

    /**
     * Result of the first run, for the table by kind and region.
     *
     * @return result of the run
     */
    public RunResult firstRun() {
        return runs.get(0);
    }
}
