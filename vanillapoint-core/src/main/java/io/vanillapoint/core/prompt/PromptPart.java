package io.vanillapoint.core.prompt;

/**
 * One part of a prompt. Equal ids mean equal text. Immutable.
 *
 * @param id identity of the part
 * @param tokens its length in tokens
 */
public record PromptPart(String id, long tokens) {}
