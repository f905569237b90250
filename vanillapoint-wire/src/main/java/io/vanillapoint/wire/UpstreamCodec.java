package io.vanillapoint.wire;

import io.vanillapoint.core.fleet.SilenceCounts;
import io.vanillapoint.core.fleet.UpstreamSignals;
import io.vanillapoint.core.fleet.UpstreamSignals.OutcomeCounts;
import io.vanillapoint.core.fleet.UpstreamSignals.Slowdown;
import io.vanillapoint.core.fleet.UpstreamUse;
import io.vanillapoint.wire.generated.TUpstreamUse;
import java.util.List;
import java.util.Optional;

/**
 * Encodes and decodes what a heartbeat tells of one upstream. Optional fields are left out if they
 * tell nothing, so that VMs of earlier builds see the same bytes. Stateless.
 */
final class UpstreamCodec {
    private UpstreamCodec() {}

    static TUpstreamUse encode(String id, UpstreamUse use) {
        TUpstreamUse entry = new TUpstreamUse(id, use.requests(), use.promptTokens());
        if (use.deferrableRequests() != 0 || use.deferrablePromptTokens() != 0) {
            entry.setDeferrableRequests(use.deferrableRequests());
            entry.setDeferrablePromptTokens(use.deferrablePromptTokens());
        }
        return entry;
    }

    static void add(List<TUpstreamUse> entries, String id, SilenceCounts counts) {
        entry(entries, id).setUnanswered(counts.unanswered()).setAnswered(counts.answered());
    }

    static void add(List<TUpstreamUse> entries, String id, UpstreamSignals signals) {
        TUpstreamUse entry = entry(entries, id);
        signals.outcomes()
                .ifPresent(
                        counts -> {
                            entry.setFailures(counts.failures());
                            entry.setSuccesses(counts.successes());
                        });
        signals.slowdown()
                .ifPresent(
                        slowdown -> {
                            entry.setSlowdownPercent(slowdown.percent());
                            entry.setSlowdownAgeMillis(slowdown.ageMillis());
                        });
    }

    static UpstreamUse use(TUpstreamUse entry) {
        return new UpstreamUse(
                entry.getRequests(),
                entry.getPromptTokens(),
                entry.getDeferrableRequests(),
                entry.getDeferrablePromptTokens());
    }

    static Optional<SilenceCounts> silence(TUpstreamUse entry) {
        return entry.isSetUnanswered() && entry.isSetAnswered()
                ? Optional.of(new SilenceCounts(entry.getUnanswered(), entry.getAnswered()))
                : Optional.empty();
    }

    static Optional<UpstreamSignals> signals(TUpstreamUse entry) {
        Optional<OutcomeCounts> outcomes =
                entry.isSetFailures() && entry.isSetSuccesses()
                        ? Optional.of(new OutcomeCounts(entry.getFailures(), entry.getSuccesses()))
                        : Optional.empty();
        Optional<Slowdown> slowdown =
                entry.isSetSlowdownPercent() && entry.isSetSlowdownAgeMillis()
                        ? Optional.of(
                                new Slowdown(
                                        entry.getSlowdownPercent(), entry.getSlowdownAgeMillis()))
                        : Optional.empty();
        return outcomes.isEmpty() && slowdown.isEmpty()
                ? Optional.empty()
                : Optional.of(new UpstreamSignals(outcomes, slowdown));
    }

    /** Returns the entry of an upstream, a new one without outstanding requests if it has none. */
    private static TUpstreamUse entry(List<TUpstreamUse> entries, String id) {
        return entries.stream()
                .filter(entry -> entry.getUpstream().equals(id))
                .findFirst()
                .orElseGet(
                        () -> {
                            TUpstreamUse idle = new TUpstreamUse(id, 0, 0);
                            entries.add(idle);
                            return idle;
                        });
    }
}
