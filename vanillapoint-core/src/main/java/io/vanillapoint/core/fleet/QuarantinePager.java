package io.vanillapoint.core.fleet;

import io.vanillapoint.core.quarantine.CrashEvidence;
import io.vanillapoint.core.quarantine.PartSuccess;
import io.vanillapoint.core.quarantine.PromptHold;
import io.vanillapoint.core.quarantine.QuarantineReport;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;

/**
 * Chooses which holds, evidence and successes fit a heartbeat, at random, so that all of them are
 * reported within a few heartbeats.
 *
 * <p>Invariant: the estimate of the encoded size is an upper bound and never exceeds the budget.
 * Confined to one thread.
 */
final class QuarantinePager {
    /** Field headers and lengths of the struct and its three lists. */
    private static final int HEADER_BYTES = 14;

    /** Maximum size of a 64-bit number in a list. */
    private static final int LIST_NUMBER_BYTES = 10;

    /** A list's field header and length, and the end of a struct. */
    private static final int LIST_BYTES = 4;

    /** Field headers and numbers of a request without its parts. */
    private static final int REQUEST_BYTES = 35;

    /** Field headers and numbers of a hold without its parts. */
    private static final int HOLD_BYTES = 46;

    private static final int SUCCESS_BYTES = 20;

    private final int budgetBytes;
    private final Random order;
    private QuarantineReport chosen = QuarantineReport.EMPTY;
    private int usedBytes;

    QuarantinePager(int budgetBytes, SplittableRandom random) {
        this.budgetBytes = budgetBytes;
        order = new Random(random.nextLong());
    }

    /** Chooses from the entries of a report. */
    QuarantinePager add(QuarantineReport report) {
        if (report.isEmpty() || budgetBytes <= HEADER_BYTES) {
            return this;
        }
        List<PromptHold> holds = new ArrayList<>();
        List<CrashEvidence> evidence = new ArrayList<>();
        List<PartSuccess> successes = new ArrayList<>();
        List<Entry> entries = new ArrayList<>();
        report.holds().forEach(hold -> entries.add(new Entry(size(hold), () -> holds.add(hold))));
        report.evidence()
                .forEach(crash -> entries.add(new Entry(size(crash), () -> evidence.add(crash))));
        report.successes()
                .forEach(
                        success ->
                                entries.add(
                                        new Entry(SUCCESS_BYTES, () -> successes.add(success))));
        Collections.shuffle(entries, order);
        usedBytes = HEADER_BYTES;
        for (Entry entry : entries) {
            if (usedBytes + entry.bytes <= budgetBytes) {
                usedBytes += entry.bytes;
                entry.choose.run();
            }
        }
        chosen = new QuarantineReport(holds, evidence, successes);
        return this;
    }

    QuarantineReport chosen() {
        return chosen;
    }

    int usedBytes() {
        return usedBytes;
    }

    private static int size(PromptHold hold) {
        return HOLD_BYTES + LIST_BYTES + hold.parts().size() * LIST_NUMBER_BYTES;
    }

    private static int size(CrashEvidence evidence) {
        int parts = evidence.request().parts().size();
        return REQUEST_BYTES + LIST_BYTES + parts * LIST_NUMBER_BYTES;
    }

    /** An entry with the upper bound of its encoded size. */
    private record Entry(int bytes, Runnable choose) {}
}
