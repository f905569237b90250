package io.vanillapoint.core.prompt;

import java.util.List;

/**
 * Properties of a generation request that are known before it runs. Immutable.
 *
 * @param model name of the model
 * @param parts parts of the prompt in order; the last one belongs to this request or session alone
 * @param promptTokens number of tokens of the prompt
 * @param outputTokens maximum number of output tokens
 */
public record PromptSummary(
        String model, List<PromptPart> parts, long promptTokens, long outputTokens) {
    /** Copies the parts. */
    public PromptSummary {
        parts = List.copyOf(parts);
    }

    /**
     * Parts that other requests share.
     *
     * @return all parts but the last
     */
    public List<PromptPart> sharedParts() {
        return parts.isEmpty() ? List.of() : parts.subList(0, parts.size() - 1);
    }

    /**
     * Number of tokens of the parts that other requests share.
     *
     * @return zero or more
     */
    public long sharedTokens() {
        long tokens = 0;
        for (int i = 0; i < parts.size() - 1; i++) {
            tokens += parts.get(i).tokens();
        }
        return tokens;
    }

    /**
     * Key that routes requests with the same longest shared prefix to the same engine.
     *
     * @return id of the last shared part, or the model's name if nothing is shared
     */
    public String affinityKey() {
        List<PromptPart> shared = sharedParts();
        return shared.isEmpty() ? model : shared.get(shared.size() - 1).id();
    }
}
