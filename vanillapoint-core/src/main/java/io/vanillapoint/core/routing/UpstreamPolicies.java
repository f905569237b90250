package io.vanillapoint.core.routing;

import io.vanillapoint.api.plugin.UpstreamCandidate;
import io.vanillapoint.api.plugin.UpstreamChoice;
import io.vanillapoint.api.plugin.UpstreamPolicy;
import io.vanillapoint.core.hash.Rendezvous;
import java.util.Comparator;
import java.util.List;

/** Built-in policies for choosing an upstream. Immutable. */
public enum UpstreamPolicies implements UpstreamPolicy {
    /**
     * The highest-ranked candidate of rendezvous hashing for the affinity key whose load is within
     * a bound. Keeps prompt prefix caches warm without overloading an upstream.
     */
    PREFIX_AFFINITY("prefix-affinity") {
        @Override
        public UpstreamCandidate choose(UpstreamChoice choice) {
            double bound = LOAD_FACTOR * meanLoad(choice.candidates()) + LOAD_SLACK;
            List<UpstreamCandidate> ranked =
                    Rendezvous.rank(
                            choice.affinityKey(), choice.candidates(), UpstreamPolicies::name);
            for (UpstreamCandidate candidate : ranked) {
                if (candidate.load() <= bound) {
                    return candidate;
                }
            }
            return LEAST_OUTSTANDING.choose(choice);
        }
    },
    /** The candidate with the lowest load. */
    LEAST_OUTSTANDING("least-outstanding") {
        @Override
        public UpstreamCandidate choose(UpstreamChoice choice) {
            return choice.candidates().stream()
                    .min(BY_LOAD.thenComparing(UpstreamPolicies::name))
                    .orElseThrow();
        }
    },
    /** Candidates in turn. */
    ROUND_ROBIN("round-robin") {
        @Override
        public UpstreamCandidate choose(UpstreamChoice choice) {
            return candidateAt(choice.candidates(), choice.sequence());
        }
    },
    /** The less loaded of two candidates drawn at random. */
    RANDOM_OF_TWO("random-of-two") {
        @Override
        public UpstreamCandidate choose(UpstreamChoice choice) {
            UpstreamCandidate first = candidateAt(choice.candidates(), choice.random() & LOW_BITS);
            UpstreamCandidate second =
                    candidateAt(choice.candidates(), choice.random() >>> Integer.SIZE);
            return BY_LOAD.compare(first, second) <= 0 ? first : second;
        }
    };

    private static final double LOAD_FACTOR = 1.25;
    private static final double LOAD_SLACK = 0.25;
    private static final long LOW_BITS = 0xffff_ffffL;
    private static final Comparator<UpstreamCandidate> BY_LOAD =
            Comparator.comparingDouble(UpstreamCandidate::load)
                    .thenComparingLong(UpstreamCandidate::outstandingTokens);

    private final String policyName;

    UpstreamPolicies(String policyName) {
        this.policyName = policyName;
    }

    /**
     * Name in the settings.
     *
     * @return lower-case text
     */
    public String policyName() {
        return policyName;
    }

    private static double meanLoad(List<UpstreamCandidate> candidates) {
        return candidates.stream().mapToDouble(UpstreamCandidate::load).average().orElse(0);
    }

    private static String name(UpstreamCandidate candidate) {
        return candidate.upstream().id().value();
    }

    private static UpstreamCandidate candidateAt(List<UpstreamCandidate> candidates, long number) {
        return candidates.get((int) Math.floorMod(number, (long) candidates.size()));
    }
}
