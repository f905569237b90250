package io.vanillapoint.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Recent crashes of engines with the requests that may have caused them, from all VMs.
 *
 * <p>Invariants: each suspect request is held once; their number is bounded, and the oldest are
 * dropped first. Confined to one thread.
 */
final class CrashLedger {
    /** Time for which a crash counts as evidence. */
    static final long EVIDENCE_MILLIS = 600_000;

    /** Time for which new evidence is repeated in heartbeats; covers several rounds. */
    static final long REPORT_MILLIS = 4_000;

    private static final int MAX_REQUESTS = 256;

    private final Map<SuspectRequest, Times> requests = new LinkedHashMap<>();
    private final Map<Long, Long> lastCrashes = new HashMap<>();

    /** Adds a request; returns false if it was known. */
    boolean add(SuspectRequest request, long crashedAtMillis, long nowMillis) {
        if (requests.containsKey(request) || nowMillis - crashedAtMillis > EVIDENCE_MILLIS) {
            return false;
        }
        requests.put(request, new Times(crashedAtMillis, nowMillis));
        if (requests.size() > MAX_REQUESTS) {
            Iterator<SuspectRequest> oldest = requests.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        indexParts();
        return true;
    }

    void prune(long nowMillis) {
        if (requests.values().removeIf(times -> nowMillis - times.crashedAt > EVIDENCE_MILLIS)) {
            indexParts();
        }
    }

    /** Drops requests that have all of the given parts. */
    void drop(Set<Long> parts) {
        requests.keySet().removeIf(request -> request.parts().containsAll(parts));
        indexParts();
    }

    /** When an engine last crashed with a request that has a part, empty if none is known. */
    OptionalLong lastCrashMillis(long part) {
        Long known = lastCrashes.get(part);
        return known == null ? OptionalLong.empty() : OptionalLong.of(known);
    }

    /** Known crashes, the earliest first. */
    List<Crash> crashes() {
        Map<Long, Crash> crashes = new HashMap<>();
        requests.forEach(
                (request, times) ->
                        crashes.computeIfAbsent(request.crash(), unused -> new Crash())
                                .add(request, times.crashedAt));
        List<Crash> ordered = new ArrayList<>(crashes.values());
        ordered.sort(Comparator.comparingLong(Crash::atMillis));
        return ordered;
    }

    /** Evidence that was learned within the report time. */
    List<CrashEvidence> recent(long nowMillis) {
        List<CrashEvidence> recent = new ArrayList<>();
        requests.forEach(
                (request, times) -> {
                    if (nowMillis - times.learnedAt <= REPORT_MILLIS) {
                        recent.add(new CrashEvidence(request, nowMillis - times.crashedAt));
                    }
                });
        return recent;
    }

    private void indexParts() {
        lastCrashes.clear();
        requests.forEach(
                (request, times) ->
                        request.parts()
                                .forEach(
                                        part ->
                                                lastCrashes.merge(
                                                        part, times.crashedAt, Math::max)));
    }

    /** Monotonic times in milliseconds at which the crash happened and was learned of. */
    private record Times(long crashedAt, long learnedAt) {}

    /** One crash. Confined to one thread. */
    static final class Crash {
        private final List<SuspectRequest> requests = new ArrayList<>();
        private final List<SuspectRequest> started = new ArrayList<>();
        private long atMillis = Long.MAX_VALUE;

        private void add(SuspectRequest request, long crashedAtMillis) {
            requests.add(request);
            if (request.stage() == AttemptStage.STARTED) {
                started.add(request);
            }
            atMillis = Math.min(atMillis, crashedAtMillis);
        }

        long atMillis() {
            return atMillis;
        }

        /** Requests that the engine had just started to respond to or, if there are none, all. */
        List<SuspectRequest> primeSuspects() {
            return started.isEmpty() ? requests : started;
        }
    }
}
