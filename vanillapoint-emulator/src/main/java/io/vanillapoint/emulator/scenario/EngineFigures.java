package io.vanillapoint.emulator.scenario;

/**
 * Speed and size of an engine. Immutable.
 *
 * @param slots requests in one batch
 * @param stepMillis time of a step that decodes one request
 * @param stepMillisPerSlot further time of a step for each request
 * @param promptTokensPerMilli tokens of prompts read in a millisecond
 * @param chunkTokens prompt tokens read in one step
 * @param tokensPerEvent tokens that one event of a stream holds
 * @param cacheTokens tokens that the engine holds for running requests and cached parts
 * @param firstMillis time before the first step of a request
 * @param copyTokensPerMilli cached tokens copied from another engine in a millisecond
 */
public record EngineFigures(
        int slots,
        double stepMillis,
        double stepMillisPerSlot,
        double promptTokensPerMilli,
        int chunkTokens,
        int tokensPerEvent,
        long cacheTokens,
        double firstMillis,
        double copyTokensPerMilli) {}
