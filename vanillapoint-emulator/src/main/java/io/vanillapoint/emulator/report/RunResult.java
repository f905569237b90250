package io.vanillapoint.emulator.report;

import java.util.Map;
import java.util.TreeMap;

/** Result of one run. Confined to one thread. */
public final class RunResult {
    private final Map<String, OutcomeTotals> kinds = new TreeMap<>();
    private final Map<String, OutcomeTotals> regions = new TreeMap<>();
    private final OutcomeTotals all = new OutcomeTotals();
    private long prefilledTokens;
    private long prefilledSharedTokens;
    private long crossRegionBytes;

    /**
     * Results by kind of request.
     *
     * @return live map
     */
    public Map<String, OutcomeTotals> kinds() {
        return kinds;
    }

    /**
     * Results by region of the caller.
     *
     * @return live map
     */
    public Map<String, OutcomeTotals> regions() {
        return regions;
    }

    /**
     * All requests together.
     *
     * @return outcomes
     */
    public OutcomeTotals all() {
        return all;
    }

    /**
     * The results to which one request is added: all, its kind and its region.
     *
     * @param kind name of its kind
     * @param region region of its caller
     * @return three results
     */
    public OutcomeTotals[] totalsFor(String kind, String region) {
        return new OutcomeTotals[] {
            all,
            kinds.computeIfAbsent(kind, unused -> new OutcomeTotals()),
            regions.computeIfAbsent(region, unused -> new OutcomeTotals())
        };
    }

    /**
     * Counts bytes sent to another region.
     *
     * @param bytes bytes
     */
    public void addCrossRegionBytes(long bytes) {
        crossRegionBytes += bytes;
    }

    /**
     * Adds the prefill work of an engine.
     *
     * @param tokens prefilled prompt tokens
     * @param sharedTokens tokens of shared prompt parts among them
     */
    public void addPrefill(long tokens, long sharedTokens) {
        prefilledTokens += tokens;
        prefilledSharedTokens += sharedTokens;
    }

    /**
     * Prompt tokens that the engines prefilled.
     *
     * @return tokens
     */
    public long prefilledTokens() {
        return prefilledTokens;
    }

    /**
     * Shared prompt tokens that the engines prefilled.
     *
     * @return tokens
     */
    public long prefilledSharedTokens() {
        return prefilledSharedTokens;
    }

    /**
     * Bytes sent to other regions.
     *
     * @return bytes
     */
    public long crossRegionBytes() {
        return crossRegionBytes;
    }
}
