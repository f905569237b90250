package io.vanillapoint.core.fleet;

import java.util.Objects;
import java.util.Optional;

/**
 * What a VM has observed of an upstream beside its own outstanding requests. Immutable.
 *
 * @param outcomes failures and successes that the VM has counted, empty if there is no evidence
 * @param slowdown the last slowdown that the upstream reported to the VM, empty if it is outdated
 */
public record UpstreamSignals(Optional<OutcomeCounts> outcomes, Optional<Slowdown> slowdown) {
    /** Nothing observed. */
    public static final UpstreamSignals NONE =
            new UpstreamSignals(Optional.empty(), Optional.empty());

    /** Checks that no component is null. */
    public UpstreamSignals {
        Objects.requireNonNull(outcomes, "outcomes");
        Objects.requireNonNull(slowdown, "slowdown");
    }

    /**
     * Responses that one VM has counted since its evidence against an upstream began. Immutable.
     *
     * @param failures responses that failed
     * @param successes responses that succeeded
     */
    public record OutcomeCounts(int failures, int successes) {
        /** Nothing counted. */
        public static final OutcomeCounts NONE = new OutcomeCounts(0, 0);

        /** Replaces negative counts, which only a malformed heartbeat has. */
        public OutcomeCounts {
            failures = Math.max(0, failures);
            successes = Math.max(0, successes);
        }
    }

    /**
     * Slowdown that an upstream reported. Immutable.
     *
     * @param percent duration of work relative to the usual one; 100 means as usual
     * @param ageMillis time since the VM received the report
     */
    public record Slowdown(int percent, int ageMillis) {
        /** Replaces values out of range, which only a malformed heartbeat has. */
        public Slowdown {
            percent = Math.max(1, percent);
            ageMillis = Math.max(0, ageMillis);
        }
    }
}
