package io.vanillapoint.core.quarantine;

import io.vanillapoint.core.quarantine.HoldTable.Hold;
import io.vanillapoint.core.quarantine.QuarantineListener.ReleaseReason;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Finds prompt parts that crash the engines that process them, and withholds requests with such
 * parts.
 *
 * <p>Handles a part that many requests share and that crashes engine after engine, while requests
 * with it arrive at all VMs. Each VM infers the parts to withhold from the same evidence: crashes
 * and the requests that may have caused them, spread by heartbeats. Holds are spread too, for VMs
 * that start or were cut off. Invariants: state and reports are bounded; a part that succeeds is no
 * longer withheld; a hold ends when requests for it have stopped. Confined to one thread.
 */
public final class PromptQuarantine {
    /** Weight of evidence from which a part is withheld: two crashes with a sole prime suspect. */
    static final int THRESHOLD = 8;

    /** The same for a part that has succeeded before; counts crashes since its last success. */
    static final int THRESHOLD_AFTER_SUCCESS = 20;

    /** The same for a part that was withheld before. */
    static final int THRESHOLD_AFTER_HOLD = 4;

    private static final int MAX_HOLDS_PER_CRASH = 4;

    private final CrashLedger ledger = new CrashLedger();
    private final HoldTable holds = new HoldTable();
    private final PartSuccesses successes = new PartSuccesses();

    private final QuarantineListener listener;
    private final Random random;

    /** Parts whose success is reported to other VMs, with the time until which it is. */
    private final Map<Long, Long> reportedSuccesses = new HashMap<>();

    /**
     * Creates a quarantine without holds.
     *
     * @param listener notified of holds
     * @param seed random seed; differs between VMs
     */
    public PromptQuarantine(QuarantineListener listener, long seed) {
        this.listener = listener;
        random = new Random(seed);
    }

    /**
     * Decides whether a request is withheld.
     *
     * @param parts hashes of the shared parts of its prompt
     * @param customer hash of its customer
     * @param mayProbe tells whether this VM may let a request through to test a hold of parts
     * @param nowMillis monotonic time
     * @return the parts that it is withheld for, empty if it may be placed
     */
    public Optional<Withheld> check(
            List<Long> parts, long customer, Predicate<Set<Long>> mayProbe, long nowMillis) {
        return findHold(parts, customer, nowMillis)
                .filter(hold -> !probeDue(hold, mayProbe, nowMillis))
                .map(
                        hold ->
                                new Withheld(
                                        hold.parts(), Math.max(1, hold.probeDueMillis(nowMillis))));
    }

    /**
     * Decides whether a request may be sent now. If it is let through as a test of a hold, the test
     * counts as made.
     *
     * @param parts hashes of the shared parts of its prompt
     * @param customer hash of its customer
     * @param mayProbe tells whether this VM may let a request through to test a hold of parts
     * @param nowMillis monotonic time
     * @return false if it is withheld
     */
    public boolean takeSend(
            List<Long> parts, long customer, Predicate<Set<Long>> mayProbe, long nowMillis) {
        Optional<Hold> found = findHold(parts, customer, nowMillis);
        if (found.isPresent() && probeDue(found.get(), mayProbe, nowMillis)) {
            found.get().probed();
            return true;
        }
        return found.isEmpty();
    }

    /**
     * Tells whether a request that has been sent is withheld by now.
     *
     * @param parts hashes of the shared parts of its prompt
     * @param customer hash of its customer
     * @param nowMillis monotonic time
     * @return true if it is withheld
     */
    public boolean withholds(List<Long> parts, long customer, long nowMillis) {
        return findHold(parts, customer, nowMillis).isPresent();
    }

    private static boolean probeDue(Hold hold, Predicate<Set<Long>> mayProbe, long nowMillis) {
        return hold.probeDueMillis(nowMillis) == 0 && mayProbe.test(hold.parts());
    }

    private Optional<Hold> findHold(List<Long> parts, long customer, long nowMillis) {
        if (parts.isEmpty() || holds.holds().isEmpty()) {
            return Optional.empty();
        }
        Optional<Hold> found = holds.find(parts, customer);
        found.ifPresent(hold -> hold.seen(nowMillis));
        return found;
    }

    /**
     * Chooses the parts of a prompt that are kept as evidence: those that have never succeeded,
     * first the ones that other evidence has. Of more parts than are kept, others are chosen each
     * time, so that none stays unnoticed.
     *
     * @param parts hashes of the shared parts
     * @return at most {@link SuspectRequest#MAX_PARTS} of them
     */
    public List<Long> evidenceParts(List<Long> parts) {
        List<Long> chosen = new ArrayList<>(parts);
        Collections.shuffle(chosen, random);
        chosen.sort(
                Comparator.comparing((Long part) -> successes.contains(part))
                        .thenComparing(part -> ledger.lastCrashMillis(part).isEmpty()));
        return chosen.subList(0, Math.min(SuspectRequest.MAX_PARTS, chosen.size()));
    }

    /**
     * Records that an engine has crashed.
     *
     * @param requests requests of this VM that may have caused it
     * @param nowMillis monotonic time
     */
    public void recordCrash(List<SuspectRequest> requests, long nowMillis) {
        boolean learned = false;
        for (SuspectRequest request : requests) {
            learned |= learn(request, nowMillis, nowMillis);
        }
        if (learned) {
            infer(nowMillis);
        }
    }

    /**
     * Records that an engine has responded to a request for a while, which shows that its parts are
     * harmless.
     *
     * @param parts hashes of the shared parts of its prompt
     * @param nowMillis monotonic time
     */
    public void recordSuccess(List<Long> parts, long nowMillis) {
        parts.forEach(part -> recordSuccess(part, nowMillis, nowMillis));
    }

    /**
     * Merges what another VM reports.
     *
     * @param report content of its heartbeat
     * @param nowMillis monotonic time
     */
    public void merge(QuarantineReport report, long nowMillis) {
        for (PartSuccess success : report.successes()) {
            recordSuccess(success.part(), nowMillis - success.ageMillis(), nowMillis);
        }
        boolean learned = false;
        for (CrashEvidence evidence : report.evidence()) {
            learned |= learn(evidence.request(), nowMillis - evidence.ageMillis(), nowMillis);
        }
        for (PromptHold hold : report.holds()) {
            long sinceMillis = nowMillis - hold.heldMillis();
            boolean refuted =
                    hold.parts().stream().anyMatch(part -> successes.since(part, sinceMillis));
            if (!refuted && holds.merge(hold, nowMillis)) {
                listener.held(hold, true);
            }
        }
        if (learned) {
            infer(nowMillis);
        }
    }

    /**
     * Returns what other VMs should know.
     *
     * @param nowMillis monotonic time
     * @return content for a heartbeat, of which it may contain a part
     */
    public QuarantineReport report(long nowMillis) {
        reportedSuccesses.values().removeIf(until -> until < nowMillis);
        List<PartSuccess> reported = new ArrayList<>();
        for (long part : reportedSuccesses.keySet()) {
            successes
                    .last(part)
                    .ifPresent(at -> reported.add(new PartSuccess(part, nowMillis - at)));
        }
        List<PromptHold> current = new ArrayList<>();
        holds.holds().forEach(hold -> current.add(hold.report(nowMillis)));
        return new QuarantineReport(current, ledger.recent(nowMillis), reported);
    }

    /**
     * Ends holds for which no request has arrived for long, and forgets old evidence.
     *
     * @param nowMillis monotonic time
     */
    public void prune(long nowMillis) {
        ledger.prune(nowMillis);
        for (Set<Long> parts : holds.endIdle(nowMillis)) {
            ledger.drop(parts);
            listener.released(parts, ReleaseReason.IDLE);
        }
    }

    /**
     * Number of holds.
     *
     * @return 0 or more
     */
    public int holdCount() {
        return holds.holds().size();
    }

    private boolean learn(SuspectRequest request, long crashedAtMillis, long nowMillis) {
        if (!request.stage().suspect() || !ledger.add(request, crashedAtMillis, nowMillis)) {
            return false;
        }
        for (long part : request.parts()) {
            if (successes.contains(part)) {
                reportSuccess(part, nowMillis);
            }
        }
        return true;
    }

    private void recordSuccess(long part, long atMillis, long nowMillis) {
        OptionalLong previous = successes.last(part);
        if (!successes.record(part, atMillis)) {
            return;
        }
        List<Set<Long>> refuted = holds.exonerate(part, atMillis);
        refuted.forEach(parts -> listener.released(parts, ReleaseReason.SUCCEEDED));
        OptionalLong crashedAt = ledger.lastCrashMillis(part);
        boolean firstSinceCrash =
                crashedAt.isPresent() && previous.orElse(Long.MIN_VALUE) < crashedAt.getAsLong();
        if (!refuted.isEmpty() || firstSinceCrash) {
            reportSuccess(part, nowMillis);
        }
    }

    private void reportSuccess(long part, long nowMillis) {
        reportedSuccesses.put(part, nowMillis + CrashLedger.REPORT_MILLIS);
    }

    private void infer(long nowMillis) {
        List<CrashLedger.Crash> crashes = ledger.crashes();
        for (Hold hold : List.copyOf(holds.holds())) {
            CrashInference.adapt(hold.report(nowMillis), CrashInference.unexplained(crashes, holds))
                    .ifPresent(adapted -> hold(adapted, nowMillis));
        }
        for (int i = 0; i < MAX_HOLDS_PER_CRASH; i++) {
            Optional<PromptHold> found =
                    CrashInference.newHold(
                            CrashInference.unexplained(crashes, holds), holds, successes);
            if (found.isEmpty() || !hold(found.get(), nowMillis)) {
                break;
            }
        }
    }

    private boolean hold(PromptHold hold, long nowMillis) {
        boolean changed = holds.merge(hold, nowMillis);
        if (changed) {
            listener.held(hold, false);
        }
        return changed;
    }

    /**
     * Decision to withhold a request. Immutable.
     *
     * @param parts hashes of the parts that crash engines
     * @param retryAfterMillis time until the decision is reviewed, above 0
     */
    public record Withheld(Set<Long> parts, long retryAfterMillis) {}
}
