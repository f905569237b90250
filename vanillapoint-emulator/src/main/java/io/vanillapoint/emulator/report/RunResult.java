package io.vanillapoint.emulator.report;

import java.util.Map;
import java.util.TreeMap;

/** Result of one run. Confined to one thread. */
public final class RunResult {
    private final Map<String, KindResult> kinds = new TreeMap<>();
    private final Map<String, KindResult> regions = new TreeMap<>();
    private final KindResult all = new KindResult();
    private long readTokens;
    private long readAgainTokens;
    private long crossedBytes;

    /**
     * Results by kind of request.
     *
     * @return live map
     */
    public Map<String, KindResult> kinds() {
        return kinds;
    }

    /**
     * Results by region of the caller.
     *
     * @return live map
     */
    public Map<String, KindResult> regions() {
        return regions;
    }

    /**
     * All requests together.
     *
     * @return outcomes
     */
    public KindResult all() {
        return all;
    }

    /**
     * The results to which one request is added: all, its kind and its region.
     *
     * @param kind name of its kind
     * @param region region of its caller
     * @return three results
     */
    public KindResult[] of(String kind, String region) {
        return new KindResult[] {
            all,
            kinds.computeIfAbsent(kind, unused -> new KindResult()),
            regions.computeIfAbsent(region, unused -> new KindResult())
        };
    }

    /**
     * Counts bytes sent to another region.
     *
     * @param bytes bytes
     */
    public void crossed(long bytes) {
        crossedBytes += bytes;
    }

    /**
     * Adds the prefill work of an engine.
     *
     * @param tokens prefilled prompt tokens
     * @param again tokens of shared prompt parts among them
     */
    public void read(long tokens, long again) {
        readTokens += tokens;
        readAgainTokens += again;
    }

    /**
     * Prompt tokens that the engines prefilled.
     *
     * @return tokens
     */
    public long readTokens() {
        return readTokens;
    }

    /**
     * Shared prompt tokens that the engines prefilled.
     *
     * @return tokens
     */
    public long readAgainTokens() {
        return readAgainTokens;
    }

    /**
     * Bytes sent to other regions.
     *
     * @return bytes
     */
    public long crossedBytes() {
        return crossedBytes;
    }
}
