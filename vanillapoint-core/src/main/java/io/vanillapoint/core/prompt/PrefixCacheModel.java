package io.vanillapoint.core.prompt;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates which prompt parts are in one engine's prefix cache, from the requests that this VM has
 * sent there.
 *
 * <p>Invariant: the cached tokens never exceed the capacity; the least recently used parts are
 * evicted first. Confined to one thread.
 */
public final class PrefixCacheModel {
    private static final float LOAD_FACTOR = 0.75f;
    private static final int INITIAL_PARTS = 64;

    private final long capacityTokens;
    private final Map<String, Long> parts = new LinkedHashMap<>(INITIAL_PARTS, LOAD_FACTOR, true);
    private long totalTokens;

    /**
     * Creates an empty model.
     *
     * @param capacityTokens tokens that the engine caches besides running requests
     */
    public PrefixCacheModel(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /**
     * Tokens in the longest cached prefix of a prompt, which the engine need not process again.
     *
     * @param prompt the prompt
     * @return number of tokens
     */
    public long cachedTokens(PromptSummary prompt) {
        long tokens = 0;
        for (PromptPart part : prompt.parts()) {
            if (!parts.containsKey(part.id())) {
                break;
            }
            tokens += part.tokens();
        }
        return tokens;
    }

    /**
     * Records that the engine processes a prompt and caches its parts.
     *
     * @param prompt the prompt
     */
    public void recordPrefill(PromptSummary prompt) {
        for (PromptPart part : prompt.parts()) {
            Long previousTokens = parts.put(part.id(), part.tokens());
            totalTokens += part.tokens() - (previousTokens == null ? 0 : previousTokens);
        }
        Iterator<Map.Entry<String, Long>> oldest = parts.entrySet().iterator();
        while (totalTokens > capacityTokens && oldest.hasNext()) {
            totalTokens -= oldest.next().getValue();
            oldest.remove();
        }
    }

    /** Empties the model, since the engine has restarted. */
    public void clear() {
        parts.clear();
        totalTokens = 0;
    }
}
