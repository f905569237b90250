package io.vanillapoint.entry.traffic;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventSink;
import io.vanillapoint.core.attempt.AttemptOutcome;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.published.UpstreamReplica;
import io.vanillapoint.core.upstream.Placement;
import io.vanillapoint.entry.log.EntryMetrics;

/** Logs the attempts of one request with what decided them. Confined to one event loop. */
final class RequestLog {
    private final EventSink log;
    private final EntryMetrics metrics;
    private final RequestPlan plan;

    RequestLog(EntryContext context, RequestPlan plan) {
        log = context.log();
        metrics = context.metrics();
        this.plan = plan;
    }

    void placed(Placement.Local local, int attempt, long nowMillis) {
        log.record(
                EventCode.PLACED,
                plan.envelope().requestId(),
                local.replica().info().id(),
                attempt,
                local.uncachedTokens(),
                local.expectedMillis(),
                elapsed(nowMillis),
                local.cacheSource().map(UpstreamReplica::id).orElse(""),
                local.replica().entryState(),
                nowMillis - local.replica().changedAtMillis());
    }

    void relayed(MemberInfo vm, Placement.Relay relay, int attempt, long nowMillis) {
        log.record(
                EventCode.RELAYED,
                plan.envelope().requestId(),
                vm.vm(),
                attempt,
                relay.expectedMillis(),
                elapsed(nowMillis));
    }

    void attemptEnded(
            RunningAttempt attempt,
            AttemptOutcome outcome,
            String cause,
            String next,
            long nowMillis) {
        AttemptProgress progress = attempt.progress();
        log.record(
                EventCode.ATTEMPT_ENDED,
                plan.envelope().requestId(),
                attempt.target(),
                outcome.name(),
                cause,
                next,
                elapsed(nowMillis),
                progress.headAgeMillis(nowMillis),
                progress.pieces(),
                String.join(",", plan.sharedPartIds()));
    }

    /** Logs that another attempt is to be made beside one whose replica makes no progress. */
    void attemptSilent(RunningAttempt attempt, String cause, long nowMillis) {
        log.record(
                EventCode.ATTEMPT_SILENT,
                plan.envelope().requestId(),
                attempt.target(),
                cause,
                elapsed(nowMillis),
                attempt.progress().pieces());
    }

    /** Logs a response; the time of its first data is negative if it had none. */
    void answered(int status, long bytes, long firstDataAtMillis, long nowMillis) {
        log.record(
                EventCode.ANSWERED,
                plan.envelope().requestId(),
                status,
                bytes,
                elapsed(firstDataAtMillis < 0 ? nowMillis : firstDataAtMillis),
                elapsed(nowMillis));
    }

    /** Logs the final error response of the gateway. */
    void refused(Refusal refusal, long nowMillis) {
        String id = plan.envelope().requestId();
        if (refusal.notRun()) {
            metrics.count("refused." + refusal.reason());
            log.record(
                    EventCode.REFUSED,
                    id,
                    refusal.status(),
                    refusal.reason(),
                    refusal.retryAfterMillis(),
                    elapsed(nowMillis));
        } else {
            log.record(
                    EventCode.REQUEST_FAILED,
                    id,
                    refusal.status(),
                    refusal.reason(),
                    elapsed(nowMillis));
        }
    }

    private long elapsed(long nowMillis) {
        return nowMillis - plan.receivedAtMillis();
    }
}
