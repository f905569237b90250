package io.vanillapoint.core.published;

/**
 * Sizes of the model engines of a service. Immutable.
 *
 * @param slots requests that one engine runs in a batch
 * @param cacheTokens tokens of prompts and answers that one engine holds
 */
public record EngineSpec(int slots, long cacheTokens) {}
