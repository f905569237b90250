package io.vanillapoint.core.quarantine;

import java.util.List;

/**
 * What a heartbeat contains about prompt parts that crash engines. Immutable.
 *
 * @param holds prompt parts that are withheld
 * @param evidence recent crashes with the requests that may have caused them
 * @param successes responses to requests with parts that occur in holds or evidence
 */
public record QuarantineReport(
        List<PromptHold> holds, List<CrashEvidence> evidence, List<PartSuccess> successes) {
    /** A report without content. */
    public static final QuarantineReport EMPTY =
            new QuarantineReport(List.of(), List.of(), List.of());

    /** Copies the lists. */
    public QuarantineReport {
        holds = List.copyOf(holds);
        evidence = List.copyOf(evidence);
        successes = List.copyOf(successes);
    }

    /**
     * Tells whether there is nothing to report.
     *
     * @return true if all lists are empty
     */
    public boolean isEmpty() {
        return holds.isEmpty() && evidence.isEmpty() && successes.isEmpty();
    }
}
