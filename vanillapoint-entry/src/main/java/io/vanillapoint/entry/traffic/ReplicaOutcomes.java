package io.vanillapoint.entry.traffic;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.core.attempt.AttemptMonitor.Reason;
import io.vanillapoint.core.attempt.AttemptOutcome;
import io.vanillapoint.core.quarantine.AttemptStage;
import io.vanillapoint.core.upstream.ReplicaTracker;
import java.util.Optional;

/** Records what the attempts of one request tell of their replicas. Confined to one event loop. */
final class ReplicaOutcomes {
    private final EntryContext context;
    private final RequestPlan plan;
    private Optional<ReplicaTracker> previousFailed = Optional.empty();
    private boolean responding;

    ReplicaOutcomes(EntryContext context, RequestPlan plan) {
        this.context = context;
        this.plan = plan;
    }

    /**
     * Records the outcome for the replica's health. Some requests fail on every replica, so the
     * failure of a request that may be retried counts against a replica only if another replica
     * succeeds with it. The evidence of load-aware placement is relative to the service's usual
     * rate and counts all outcomes at once.
     */
    void answered(RunningAttempt attempt, boolean failure) {
        recordEvidence(attempt, failure);
        if (!failure) {
            previousFailed.ifPresent(replica -> replica.recordOutcome(true));
        }
        if (!failure || !plan.route().mayRunAgain()) {
            attempt.ifAtReplica(use -> use.tracker().recordOutcome(failure));
        }
    }

    /** Records a failure after which the request is retried. */
    void failedBeforeRetry(RunningAttempt attempt) {
        recordEvidence(attempt, true);
        previousFailed = attempt.use().map(ReplicaUse::tracker);
    }

    /** Records a response that no replica should give. */
    void misbehaved(RunningAttempt attempt) {
        recordEvidence(attempt, true);
        attempt.ifAtReplica(use -> use.tracker().recordOutcome(true));
    }

    private void recordEvidence(RunningAttempt attempt, boolean failure) {
        long now = context.clock().getAsLong();
        if (context.pool().loadAwareness().active(now)) {
            attempt.ifAtReplica(
                    use -> use.tracker().recordEvidence(failure, use.sentAtMillis(), now));
        }
    }

    /** Records that a replica makes no progress. */
    void noProgress(RunningAttempt attempt, Reason reason) {
        if (reason == Reason.STALLED) {
            attempt.ifAtReplica(use -> use.tracker().recordOutcome(true));
        }
    }

    /**
     * Records that a replica may be down, unless it has responded to another request since. What
     * arrives on open connections does not tell whether new ones can be opened.
     */
    void ended(RunningAttempt attempt, AttemptOutcome outcome, String cause) {
        if (!outcome.mayBeDown() || attempt.use().isEmpty()) {
            return;
        }
        boolean connectionFailed = outcome == AttemptOutcome.NOT_SENT;
        if (connectionFailed ? attempt.replicaReachedSince() : attempt.replicaRespondedSince()) {
            return;
        }
        if (connectionFailed) {
            attempt.ifAtReplica(use -> use.connectionFailed(context.clock().getAsLong()));
        } else {
            unreachable(attempt);
        }
        context.log().record(EventCode.REPLICA_UNREACHABLE, attempt.target(), cause);
    }

    void unreachable(RunningAttempt attempt) {
        attempt.ifAtReplica(use -> use.tracker().unreachable(context.clock().getAsLong()));
    }

    /** Records that the connection broke before the response had ended. */
    void broken(RunningAttempt attempt) {
        long now = context.clock().getAsLong();
        if (attempt.response() != null) {
            recordEvidence(attempt, true);
        }
        attempt.ifAtReplica(
                use -> context.prompts().attemptBroken(plan, use.tracker(), attempt.stage(now)));
    }

    /** Records once that an engine has responded to the prompt for a while. */
    void progressed(RunningAttempt attempt) {
        long now = context.clock().getAsLong();
        boolean started =
                attempt.use().isPresent() && attempt.stage(now) == AttemptStage.RESPONDING;
        if (started && !responding) {
            responding = true;
            context.prompts().responded(plan);
        }
    }

    /** Records that an engine has responded to the prompt completely. */
    void completed(RunningAttempt attempt) {
        if (attempt.use().isPresent()
                && attempt.response().success()
                && attempt.progress().pieces() > 0) {
            context.prompts().responded(plan);
        }
    }
}
