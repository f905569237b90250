package io.vanillapoint.core.hash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Rendezvous hashing (highest random weight): every process picks the same candidate for a key, and
 * removing a candidate moves only its own keys. Stateless.
 */
public final class Rendezvous {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Rendezvous() {}

    /**
     * Picks the candidate with the highest weight.
     *
     * @param key what to place
     * @param candidates where it may be placed
     * @param name stable name of a candidate
     * @param <T> type of the candidates
     * @return the candidate, empty if there is none
     */
    public static <T> Optional<T> pick(
            String key, Collection<T> candidates, Function<T, String> name) {
        T best = null;
        long bestWeight = 0;
        long seed = seed(key);
        for (T candidate : candidates) {
            long weight = seededWeight(seed, name.apply(candidate));
            if (best == null || Long.compareUnsigned(weight, bestWeight) > 0) {
                best = candidate;
                bestWeight = weight;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Orders the candidates by descending weight.
     *
     * @param key what to place
     * @param candidates where it may be placed
     * @param name stable name of a candidate
     * @param <T> type of the candidates
     * @return a new list, the best candidate first
     */
    public static <T> List<T> rank(String key, Collection<T> candidates, Function<T, String> name) {
        List<T> ranked = new ArrayList<>(candidates);
        Comparator<T> byWeight =
                (a, b) ->
                        Long.compareUnsigned(
                                weight(key, name.apply(b)), weight(key, name.apply(a)));
        ranked.sort(byWeight.thenComparing(name));
        return ranked;
    }

    /**
     * Weight of a candidate for a key.
     *
     * @param key what to place
     * @param candidate name of the candidate
     * @return 64 well-mixed bits, to be compared as unsigned
     */
    public static long weight(String key, String candidate) {
        return seededWeight(seed(key), candidate);
    }

    /**
     * Hash state after a key, so that the key is hashed once for many candidates.
     *
     * @param key what to place
     * @return seed for {@link #seededWeight}
     */
    public static long seed(String key) {
        // The multiplication hashes a zero character that separates the key from the candidate.
        return fnv(FNV_OFFSET, key) * FNV_PRIME;
    }

    /**
     * Weight of a candidate for the key from which a seed was computed.
     *
     * @param seed result of {@link #seed}
     * @param candidate name of the candidate
     * @return the same as {@link #weight}
     */
    public static long seededWeight(long seed, String candidate) {
        return mix(fnv(seed, candidate));
    }

    private static long fnv(long seed, String text) {
        long hash = seed;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }

    /** Finalizer of the 64-bit variant of MurmurHash3. */
    private static long mix(long value) {
        long mixed = value;
        mixed = (mixed ^ (mixed >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
