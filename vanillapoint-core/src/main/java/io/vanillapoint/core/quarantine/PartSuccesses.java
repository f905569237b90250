package io.vanillapoint.core.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * When engines last responded to a request with each prompt part, as far as this VM knows.
 *
 * <p>Handles prompts of very many parts that are never sent again: parts with one success have
 * places of their own, so that they push out only each other. Invariant: holds a bounded number of
 * parts; of those with several successes the most recently used ones. Confined to one thread.
 */
final class PartSuccesses {
    private static final int MAX_PARTS = 8_192;
    private static final int MAX_NEW_PARTS = 4_096;
    private static final int INITIAL_PARTS = 256;
    private static final float LOAD_FACTOR = 0.75f;

    /** Times of the last successes of parts with several. */
    private final Map<Long, Long> repeated = boundedMap(MAX_PARTS, true);

    /** Times of the only successes of parts. */
    private final Map<Long, Long> once = boundedMap(MAX_NEW_PARTS, false);

    /** Records a success; returns false if a later one was known. */
    boolean record(long part, long atMillis) {
        Long known = find(part);
        if (known == null) {
            once.put(part, atMillis);
            return true;
        }
        if (known >= atMillis) {
            return false;
        }
        once.remove(part);
        repeated.put(part, atMillis);
        return true;
    }

    OptionalLong last(long part) {
        Long known = find(part);
        return known == null ? OptionalLong.empty() : OptionalLong.of(known);
    }

    boolean contains(long part) {
        return repeated.containsKey(part) || once.containsKey(part);
    }

    /** Tells whether a part has succeeded at or after a time. */
    boolean since(long part, long millis) {
        Long known = find(part);
        return known != null && known >= millis;
    }

    private Long find(long part) {
        Long known = repeated.get(part);
        return known == null ? once.get(part) : known;
    }

    private static Map<Long, Long> boundedMap(int maxSize, boolean byUse) {
        return new LinkedHashMap<>(INITIAL_PARTS, LOAD_FACTOR, byUse) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
                return size() > maxSize;
            }
        };
    }
}
