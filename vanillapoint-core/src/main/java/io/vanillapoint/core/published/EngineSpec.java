package io.vanillapoint.core.published;

/**
 * Sizes of the model engines of a service. Immutable.
 *
 * @param slots requests that one engine runs in one batch
 * @param cacheTokens size of one engine's KV cache, in tokens of prompts and responses
 * @param copiesCache true if an engine can copy a cached prompt from another engine
 */
public record EngineSpec(int slots, long cacheTokens, boolean copiesCache) {}
