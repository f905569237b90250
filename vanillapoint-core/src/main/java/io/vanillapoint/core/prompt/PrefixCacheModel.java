package io.vanillapoint.core.prompt;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates which prompt parts are in one engine's prefix cache, from the requests that this VM has
 * sent there.
 *
 * <p>Invariants: the cached tokens never exceed the capacity, nor the memory its budget; the least
 * recently used parts are evicted first. Of a prompt of very many parts only the first ones are
 * known, so that the work for one prompt is bounded too. Confined to one thread.
 */
public final class PrefixCacheModel {
    private static final float LOAD_FACTOR = 0.75f;
    private static final int INITIAL_PARTS = 64;

    /** Parts of one prompt that are known; prompts have a handful. */
    static final int MAX_PROMPT_PARTS = 64;

    /** Objects of a part beside the characters of its id. */
    private static final long PART_OVERHEAD_BYTES = 150;

    private final long capacityTokens;
    private final PrefixCacheBudget budget;
    private final Map<String, Long> parts = new LinkedHashMap<>(INITIAL_PARTS, LOAD_FACTOR, true);
    private long totalTokens;
    private long bytes;
    private boolean closed;

    /**
     * Creates an empty model with memory of its own.
     *
     * @param capacityTokens tokens that the engine caches besides running requests
     */
    public PrefixCacheModel(long capacityTokens) {
        this(capacityTokens, new PrefixCacheBudget(Long.MAX_VALUE));
    }

    /**
     * Creates an empty model.
     *
     * @param capacityTokens tokens that the engine caches besides running requests
     * @param budget memory that it shares with others
     */
    public PrefixCacheModel(long capacityTokens, PrefixCacheBudget budget) {
        this.capacityTokens = capacityTokens;
        this.budget = budget;
    }

    /**
     * Tokens in the longest cached prefix of a prompt, which the engine need not process again.
     *
     * @param prompt the prompt
     * @return number of tokens
     */
    public long cachedTokens(PromptSummary prompt) {
        long tokens = 0;
        for (PromptPart part : knownParts(prompt)) {
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
        if (closed) {
            return;
        }
        long bytesBefore = bytes;
        for (PromptPart part : knownParts(prompt)) {
            Long previousTokens = parts.put(part.id(), part.tokens());
            totalTokens += part.tokens() - (previousTokens == null ? 0 : previousTokens);
            bytes += previousTokens == null ? bytes(part.id()) : 0;
        }
        Iterator<Map.Entry<String, Long>> oldest = parts.entrySet().iterator();
        while (totalTokens > capacityTokens && oldest.hasNext()) {
            evict(oldest);
        }
        budget.resized(bytesBefore, bytes);
        while (bytes > budget.modelLimitBytes() && oldest.hasNext()) {
            long before = bytes;
            evict(oldest);
            budget.resized(before, bytes);
            budget.partDropped();
        }
    }

    private void evict(Iterator<Map.Entry<String, Long>> oldest) {
        Map.Entry<String, Long> part = oldest.next();
        totalTokens -= part.getValue();
        bytes -= bytes(part.getKey());
        oldest.remove();
    }

    private static List<PromptPart> knownParts(PromptSummary prompt) {
        List<PromptPart> all = prompt.parts();
        return all.size() <= MAX_PROMPT_PARTS ? all : all.subList(0, MAX_PROMPT_PARTS);
    }

    private static long bytes(String id) {
        return PART_OVERHEAD_BYTES + id.length();
    }

    /** Empties the model for good, since the engine is gone. */
    public void close() {
        clear();
        closed = true;
    }

    /** Empties the model, since the engine has restarted. */
    public void clear() {
        budget.resized(bytes, 0);
        parts.clear();
        totalTokens = 0;
        bytes = 0;
    }
}
