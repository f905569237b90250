package io.vanillapoint.core.published;

/**
 * Sizes of the model engines of a service. Immutable.
 *
 * @param slots requests that one engine runs in a batch
 * @param cacheTokens tokens of prompts and answers that one engine holds
 * @param copiesCache true if an engine can copy what another one holds of a prompt
 */
public record EngineSpec(int slots, long cacheTokens, boolean copiesCache) {}
