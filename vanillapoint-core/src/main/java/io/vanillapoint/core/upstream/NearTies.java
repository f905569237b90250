package io.vanillapoint.core.upstream;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Chooses among replicas of nearly equal loss: of two that are drawn at random, the one with the
 * lower loss.
 *
 * <p>Handles VMs that have the same outdated view of the replicas and would otherwise all choose
 * the same one until its load shows in heartbeats. Confined to one thread.
 */
final class NearTies {
    /** Difference of losses that the accuracy of the estimates does not justify to respect. */
    private static final double NEARLY_EQUAL_LOSS = 0.01;

    private final RandomGenerator random;
    private final List<Candidate> candidates = new ArrayList<>();

    NearTies(RandomGenerator random) {
        this.random = random;
    }

    void add(Candidate candidate) {
        candidates.add(candidate);
    }

    /**
     * Chooses a candidate.
     *
     * @param best the candidate with the lowest loss
     */
    Candidate choose(Candidate best) {
        List<Candidate> near =
                candidates.stream()
                        .filter(one -> one.path == best.path)
                        .filter(one -> one.loss - best.loss <= NEARLY_EQUAL_LOSS)
                        .toList();
        if (near.size() < 2) {
            return best;
        }
        int first = random.nextInt(near.size());
        int second = random.nextInt(near.size() - 1);
        Candidate one = near.get(first);
        Candidate other = near.get(second < first ? second : second + 1);
        return other.loss < one.loss ? other : one;
    }
}
