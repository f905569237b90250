package io.vanillapoint.emulator.report;

import java.util.Map;
import java.util.TreeMap;

/** What came of one run. Confined to one thread. */
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
     * @return their result
     */
    public KindResult all() {
        return all;
    }

    /**
     * The results that one request counts in.
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
     * Adds what an engine has read.
     *
     * @param tokens prompt tokens
     * @param again shared prompt tokens among them
     */
    public void read(long tokens, long again) {
        readTokens += tokens;
        readAgainTokens += again;
    }

    /**
     * Prompt tokens that engines have read.
     *
     * @return tokens
     */
    public long readTokens() {
        return readTokens;
    }

    /**
     * Shared prompt tokens that engines have read.
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
