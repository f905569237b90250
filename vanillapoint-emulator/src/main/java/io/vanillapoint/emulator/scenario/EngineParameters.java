package io.vanillapoint.emulator.scenario;

/**
 * Speed and capacity of an engine. Immutable.
 *
 * @param slots maximum number of requests in a batch
 * @param stepMillis base time of a step
 * @param stepMillisPerSlot additional time of a step for each running request
 * @param promptTokensPerMilli prompt tokens prefilled per millisecond
 * @param chunkTokens maximum number of prompt tokens prefilled in one step
 * @param tokensPerEvent tokens in one event of a stream
 * @param cacheTokens memory for running requests and cached prompt parts, in tokens
 * @param firstMillis time from the arrival of a request to its first step
 * @param copyTokensPerMilli cached tokens copied from another engine per millisecond
 */
public record EngineParameters(
        int slots,
        double stepMillis,
        double stepMillisPerSlot,
        double promptTokensPerMilli,
        int chunkTokens,
        int tokensPerEvent,
        long cacheTokens,
        double firstMillis,
        double copyTokensPerMilli) {}
