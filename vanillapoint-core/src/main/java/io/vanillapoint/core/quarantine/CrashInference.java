package io.vanillapoint.core.quarantine;

import io.vanillapoint.core.quarantine.CrashLedger.Crash;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Infers which prompt parts crash engines.
 *
 * <p>Handles engines that crash with dozens of requests on them, of which one is to blame, and
 * engines that crash for other reasons. A part is to blame if it was in a prime suspect of several
 * crashes, none of them explained by another hold, without a success since. Parts that were always
 * together can't be told apart, so only requests with all of them are withheld; the next crash or
 * success tells more. Evidence from one customer counts against that customer alone, so that nobody
 * can have another customer's prompts withheld by mixing their parts with harmful ones. Stateless.
 */
final class CrashInference {
    /** Crashes this close together may have a common cause, so they count as one. */
    private static final long COMMON_CAUSE_MILLIS = 150;

    private CrashInference() {}

    /** Finds a hold that explains crashes which no present hold explains. */
    static Optional<PromptHold> newHold(
            List<Crash> unexplained, HoldTable holds, PartSuccesses successes) {
        long suspect = 0;
        double highest = 0;
        Map<Long, List<Crash>> crashes = byPart(unexplained, successes);
        for (Map.Entry<Long, List<Crash>> entry : crashes.entrySet()) {
            long part = entry.getKey();
            double score = score(part, entry.getValue(), successes);
            double ratio = score / threshold(part, holds, successes);
            if (ratio >= 1 && ratio > highest) {
                highest = ratio;
                suspect = part;
            }
        }
        return highest == 0
                ? Optional.empty()
                : Optional.of(hold(suspect, crashes.get(suspect), holds, successes));
    }

    /**
     * Adapts a hold to crashes that it explains only in part: by requests of another customer, or
     * with only some of its parts.
     */
    static Optional<PromptHold> adapt(PromptHold hold, List<Crash> unexplained) {
        Set<Long> parts = new HashSet<>(hold.parts());
        long customer = hold.customer();
        for (Crash crash : unexplained) {
            Set<Long> common = new HashSet<>(parts);
            long crashCustomer = customer;
            for (SuspectRequest request : crash.primeSuspects()) {
                common.retainAll(request.parts());
                crashCustomer = either(crashCustomer, request.customer());
            }
            if (!common.isEmpty()) {
                parts = common;
                customer = crashCustomer;
            }
        }
        boolean changed = customer != hold.customer() || !parts.equals(hold.parts());
        return changed
                ? Optional.of(
                        new PromptHold(
                                parts,
                                customer,
                                hold.heldMillis(),
                                hold.idleMillis(),
                                hold.probes()))
                : Optional.empty();
    }

    /** Crashes none of whose prime suspects is withheld by a present hold. */
    static List<Crash> unexplained(List<Crash> crashes, HoldTable holds) {
        return crashes.stream().filter(crash -> !isExplained(crash, holds)).toList();
    }

    private static boolean isExplained(Crash crash, HoldTable holds) {
        return crash.primeSuspects().stream()
                .anyMatch(request -> holds.find(request.parts(), request.customer()).isPresent());
    }

    /** Crashes by the parts of their prime suspects, without those before a part's last success. */
    private static Map<Long, List<Crash>> byPart(List<Crash> crashes, PartSuccesses successes) {
        Map<Long, List<Crash>> byPart = new LinkedHashMap<>();
        for (Crash crash : crashes) {
            Set<Long> parts = new LinkedHashSet<>();
            crash.primeSuspects().forEach(request -> parts.addAll(request.parts()));
            for (long part : parts) {
                if (!successes.since(part, crash.atMillis())) {
                    byPart.computeIfAbsent(part, unused -> new ArrayList<>()).add(crash);
                }
            }
        }
        return byPart;
    }

    private static int threshold(long part, HoldTable holds, PartSuccesses successes) {
        if (successes.contains(part)) {
            return PromptQuarantine.THRESHOLD_AFTER_SUCCESS;
        }
        return holds.endedHold(part).isPresent()
                ? PromptQuarantine.THRESHOLD_AFTER_HOLD
                : PromptQuarantine.THRESHOLD;
    }

    /**
     * Sum of the crashes' weights. Those with a common cause count once, by the heaviest, unless
     * the part is the only one that their requests share among those that have never succeeded.
     */
    private static int score(long part, List<Crash> crashes, PartSuccesses successes) {
        boolean proven = successes.contains(part);
        int sum = 0;
        long groupAt = Long.MIN_VALUE / 2;
        Map<Set<Long>, Integer> heaviest = new HashMap<>();
        for (Crash crash : crashes) {
            if (crash.atMillis() - groupAt > COMMON_CAUSE_MILLIS) {
                groupAt = crash.atMillis();
                sum += total(heaviest);
                heaviest.clear();
            }
            int weight = weight(part, crash);
            Set<Long> others = proven ? Set.of() : unprovenCompanions(part, crash, successes);
            if (!proven && others.isEmpty()) {
                sum += weight;
            } else {
                heaviest.merge(others, weight, Math::max);
            }
        }
        return sum + total(heaviest);
    }

    private static int total(Map<Set<Long>, Integer> weights) {
        return weights.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Parts beside one in a suspect request that may be to blame just as well. */
    private static Set<Long> unprovenCompanions(long part, Crash crash, PartSuccesses successes) {
        for (SuspectRequest request : crash.primeSuspects()) {
            if (request.parts().contains(part)) {
                Set<Long> others = new HashSet<>(request.parts());
                others.remove(part);
                others.removeIf(successes::contains);
                return others;
            }
        }
        return Set.of();
    }

    private static int weight(long part, Crash crash) {
        boolean sole = true;
        Optional<AttemptStage> stage = Optional.empty();
        for (SuspectRequest request : crash.primeSuspects()) {
            if (request.parts().contains(part)) {
                stage = Optional.of(request.stage());
            } else {
                sole = false;
            }
        }
        boolean isSole = sole;
        return stage.map(found -> found.weight(isSole)).orElse(0);
    }

    private static PromptHold hold(
            long suspect, List<Crash> crashes, HoldTable holds, PartSuccesses successes) {
        Set<Long> parts = null;
        OptionalLong customer = OptionalLong.empty();
        for (Crash crash : crashes) {
            for (SuspectRequest request : crash.primeSuspects()) {
                if (request.parts().contains(suspect)) {
                    parts = intersection(parts, request.parts());
                    customer =
                            OptionalLong.of(
                                    customer.isPresent()
                                            ? either(customer.getAsLong(), request.customer())
                                            : request.customer());
                }
            }
        }
        Set<Long> companions = parts == null ? new HashSet<>() : parts;
        companions.removeIf(successes::contains);
        companions.add(suspect);
        return new PromptHold(
                holds.endedHold(suspect).orElse(companions),
                customer.orElse(PromptHold.ALL_CUSTOMERS),
                0,
                0,
                0);
    }

    private static Set<Long> intersection(Set<Long> parts, Collection<Long> others) {
        if (parts == null) {
            return new HashSet<>(others);
        }
        parts.retainAll(others);
        return parts;
    }

    private static long either(long one, long other) {
        return one == other ? one : PromptHold.ALL_CUSTOMERS;
    }
}
