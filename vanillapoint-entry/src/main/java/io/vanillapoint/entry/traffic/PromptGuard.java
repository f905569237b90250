package io.vanillapoint.entry.traffic;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventSink;
import io.vanillapoint.core.published.CustomerSpec;
import io.vanillapoint.core.published.UpstreamReplica;
import io.vanillapoint.core.quarantine.AttemptStage;
import io.vanillapoint.core.quarantine.PartHashes;
import io.vanillapoint.core.quarantine.PromptHold;
import io.vanillapoint.core.quarantine.PromptQuarantine;
import io.vanillapoint.core.quarantine.PromptQuarantine.Withheld;
import io.vanillapoint.core.quarantine.QuarantineListener;
import io.vanillapoint.core.quarantine.QuarantineReport;
import io.vanillapoint.core.quarantine.SuspectRequest;
import io.vanillapoint.core.upstream.ReplicaTracker;
import io.vanillapoint.entry.log.EntryMetrics;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Withholds requests whose prompt parts crash engines, and collects the evidence from this VM's
 * attempts. Confined to one event loop.
 */
public final class PromptGuard {
    /** Reason given to callers and other VMs. */
    public static final String REASON = "prompt_withheld";

    /** Requests of one VM that are recorded as suspects of one crash. */
    private static final int MAX_SUSPECTS = 8;

    private final LongSupplier clock;
    private final EventSink log;
    private final EntryMetrics metrics;
    private final Predicate<Set<Long>> mayProbe;
    private final PromptQuarantine quarantine;
    private final EngineCrashMonitor crashes;

    /**
     * Creates a guard that withholds nothing.
     *
     * @param vertx event loop
     * @param clock monotonic time in milliseconds
     * @param log decision log
     * @param metrics counters
     * @param seed random seed; differs between VMs
     * @param mayProbe tells whether this VM, of all VMs, may test whether the given parts are still
     *     harmful
     * @param onHold called when further requests are withheld
     */
    public PromptGuard(
            Vertx vertx,
            LongSupplier clock,
            EventSink log,
            EntryMetrics metrics,
            long seed,
            Predicate<Set<Long>> mayProbe,
            Runnable onHold) {
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
        this.mayProbe = mayProbe;
        quarantine = new PromptQuarantine(new HoldLogger(onHold), seed);
        crashes = new EngineCrashMonitor(vertx, clock, this::recordCrash);
    }

    /**
     * Checks a request before it is placed.
     *
     * @param plan the request
     * @param step step of the request, for the log
     * @return the refusal if it is withheld
     */
    Optional<Refusal> check(RequestPlan plan, String step) {
        List<Long> parts = parts(plan);
        Optional<Withheld> withheld =
                quarantine.check(parts, customer(plan), mayProbe, clock.getAsLong());
        withheld.ifPresent(decision -> logWithheld(plan, decision, step));
        return withheld.map(decision -> Refusal.notRun(REASON, decision.retryAfterMillis()));
    }

    /**
     * Checks a request right before it is sent to an engine or to another VM.
     *
     * @param plan the request
     * @return false if it is withheld
     */
    boolean maySend(RequestPlan plan) {
        return quarantine.takeSend(parts(plan), customer(plan), mayProbe, clock.getAsLong());
    }

    /**
     * Tells whether a request that was sent is withheld by now.
     *
     * @param plan the request
     * @return true if its attempt should end
     */
    boolean withholds(RequestPlan plan) {
        return quarantine.withholds(parts(plan), customer(plan), clock.getAsLong());
    }

    /** Records that an engine has responded to a request for a while. */
    void responded(RequestPlan plan) {
        quarantine.recordSuccess(parts(plan), clock.getAsLong());
    }

    /** Records that the connection of an attempt broke before its response had ended. */
    void attemptBroken(RequestPlan plan, ReplicaTracker tracker, AttemptStage stage) {
        boolean mayBeCause = stage.suspect() && !parts(plan).isEmpty();
        crashes.attemptBroken(
                tracker, new BrokenAttempt(plan, mayBeCause ? stage : AttemptStage.RESPONDING));
    }

    /**
     * Merges what another VM reports.
     *
     * @param report content of its heartbeat
     */
    public void merge(QuarantineReport report) {
        if (!report.isEmpty()) {
            quarantine.merge(report, clock.getAsLong());
        }
    }

    /**
     * Returns what other VMs should know.
     *
     * @return content for a heartbeat
     */
    public QuarantineReport report() {
        return quarantine.report(clock.getAsLong());
    }

    /** Ends holds that are no longer needed. */
    public void prune() {
        quarantine.prune(clock.getAsLong());
    }

    /**
     * Number of sets of prompt parts that are withheld.
     *
     * @return 0 or more
     */
    public int holds() {
        return quarantine.holdCount();
    }

    private void recordCrash(UpstreamReplica engine, List<BrokenAttempt> attempts, String cause) {
        long crash = PartHashes.crash(engine.id(), engine.startedAtMillis());
        List<BrokenAttempt> suspects = suspects(attempts);
        log.record(EventCode.ENGINE_CRASHED, engine.id(), cause, attempts.size(), suspects.size());
        metrics.count("engines_crashed");
        List<SuspectRequest> evidence = new ArrayList<>();
        for (BrokenAttempt attempt : suspects) {
            RequestPlan plan = attempt.plan();
            log.record(
                    EventCode.CRASH_SUSPECT,
                    plan.envelope().requestId(),
                    engine.id(),
                    attempt.stage(),
                    plan.customer().map(CustomerSpec::name).orElse(""),
                    String.join(",", plan.sharedPartIds()));
            evidence.add(
                    new SuspectRequest(
                            crash,
                            attempt.stage(),
                            customer(plan),
                            quarantine.evidenceParts(parts(plan))));
        }
        quarantine.recordCrash(evidence, clock.getAsLong());
    }

    /** Attempts that the engine had just started to respond to or, if there are none, all. */
    private static List<BrokenAttempt> suspects(List<BrokenAttempt> attempts) {
        boolean anyStarted =
                attempts.stream().anyMatch(attempt -> attempt.stage() == AttemptStage.STARTED);
        return attempts.stream()
                .filter(attempt -> attempt.stage().suspect())
                .filter(attempt -> !anyStarted || attempt.stage() == AttemptStage.STARTED)
                .limit(MAX_SUSPECTS)
                .toList();
    }

    private void logWithheld(RequestPlan plan, Withheld decision, String step) {
        log.record(
                EventCode.PROMPT_WITHHELD,
                plan.envelope().requestId(),
                text(decision.parts()),
                step,
                decision.retryAfterMillis());
        metrics.count("prompts_withheld");
    }

    private static List<Long> parts(RequestPlan plan) {
        return plan.envelope().prompt().map(PartHashes::sharedParts).orElse(List.of());
    }

    private static long customer(RequestPlan plan) {
        return PartHashes.customer(plan.customer().map(CustomerSpec::name));
    }

    private static String text(Set<Long> parts) {
        return parts.stream()
                .sorted(Comparator.naturalOrder())
                .map(Long::toHexString)
                .collect(Collectors.joining(","));
    }

    /** Logs holds. Confined to one event loop. */
    private final class HoldLogger implements QuarantineListener {
        private final Runnable onHold;

        HoldLogger(Runnable onHold) {
            this.onHold = onHold;
        }

        @Override
        public void held(PromptHold hold, boolean reported) {
            log.record(
                    EventCode.PROMPT_HELD,
                    text(hold.parts()),
                    hold.customer() == PromptHold.ALL_CUSTOMERS ? "all" : "one",
                    reported ? "another VM" : "evidence",
                    hold.heldMillis(),
                    hold.probes());
            metrics.count("prompts_held");
            onHold.run();
        }

        @Override
        public void released(Set<Long> parts, ReleaseReason reason) {
            log.record(
                    EventCode.PROMPT_RELEASED, text(parts), reason.name().toLowerCase(Locale.ROOT));
        }
    }
}
