package io.vanillapoint.core.prompt;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Model of the prompt parts that one engine still holds, from what this VM has sent there.
 *
 * <p>Invariant: the tokens held never exceed the capacity; the least recently used parts go first.
 * Confined to one thread.
 */
public final class CachedParts {
    private static final float LOAD_FACTOR = 0.75f;
    private static final int INITIAL_PARTS = 64;

    private final long capacityTokens;
    private final Map<String, Long> parts = new LinkedHashMap<>(INITIAL_PARTS, LOAD_FACTOR, true);
    private long heldTokens;

    /**
     * Creates an empty model.
     *
     * @param capacityTokens tokens that the engine keeps beside what it runs
     */
    public CachedParts(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /**
     * Tokens of a prompt that need not be read again: its first parts that are all held.
     *
     * @param prompt the prompt
     * @return tokens
     */
    public long cachedTokens(PromptShape prompt) {
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
     * Notes that the engine reads a prompt.
     *
     * @param prompt the prompt
     */
    public void read(PromptShape prompt) {
        for (PromptPart part : prompt.parts()) {
            Long before = parts.put(part.id(), part.tokens());
            heldTokens += part.tokens() - (before == null ? 0 : before);
        }
        Iterator<Map.Entry<String, Long>> oldest = parts.entrySet().iterator();
        while (heldTokens > capacityTokens && oldest.hasNext()) {
            heldTokens -= oldest.next().getValue();
            oldest.remove();
        }
    }

    /** Forgets everything, since the engine has started again. */
    public void clear() {
        parts.clear();
        heldTokens = 0;
    }
}
