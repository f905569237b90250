package io.vanillapoint.cli.explain;

import io.vanillapoint.api.event.EventCode;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Likely cause of a request's outcome. The first constant that applies is reported. Immutable. */
public enum LikelyCause {
    /** No line contains the request id. */
    NOT_LOGGED {
        @Override
        Optional<String> explain(RequestTrace trace) {
            return trace.decisions().isEmpty()
                    ? Optional.of(
                            "no VM logged this request: none received it, or log lines are missing")
                    : Optional.empty();
        }
    },
    /** The request was not permitted or was malformed. */
    DENIED {
        @Override
        Optional<String> explain(RequestTrace trace) {
            return trace.outcome(EventCode.DENIED)
                    .map(
                            denied ->
                                    "denied with reason "
                                            + denied.text("reason")
                                            + " under configuration version "
                                            + denied.text("version")
                                            + trace.lastContextEvent(EventCode.STORE_LOST)
                                                    .map(lost -> ", possibly stale: store lost")
                                                    .orElse(""));
        }
    },
    /** The customer's tokens were exhausted. */
    TOKENS_SPENT {
        @Override
        Optional<String> explain(RequestTrace trace) {
            return trace.outcome(EventCode.TOKENS_REFUSED)
                    .map(
                            refused ->
                                    "customer "
                                            + refused.text("customer")
                                            + " had "
                                            + refused.text("level")
                                            + " tokens left"
                                            + (refused.number("share") < 1
                                                    ? ", and this VM heard only "
                                                            + refused.text("share")
                                                            + " of the fleet (VMs down or cut off)"
                                                    : ""));
        }
    },
    /** The caller disconnected before the response was complete. */
    CALLER_LEFT {
        @Override
        Optional<String> explain(RequestTrace trace) {
            return trace.outcome(EventCode.CALLER_LEFT)
                    .map(
                            left ->
                                    "the caller disconnected after "
                                            + left.text("elapsed_ms")
                                            + " ms");
        }
    },
    /** The request was refused and did not run. */
    REFUSED {
        @Override
        Optional<String> explain(RequestTrace trace) {
            return trace.outcome(EventCode.REFUSED)
                    .map(
                            refused ->
                                    "refused before it was run: "
                                            + refused.text("reason")
                                            + withheldPrompt(trace)
                                            + trace.lastContextEvent(EventCode.EVACUATION)
                                                    .map(
                                                            zone ->
                                                                    "; evacuation of zone "
                                                                            + zone.text("zone"))
                                                    .orElse("")
                                            + exhaustedRetryBudget(trace)
                                            + replicasOutOfReach(trace)
                                            + replicaNotReady(trace)
                                            + replicaNotices(trace));
        }
    },
    /** The request failed and may have run. */
    FAILED {
        @Override
        Optional<String> explain(RequestTrace trace) {
            return trace.outcome(EventCode.REQUEST_FAILED)
                    .map(
                            failed ->
                                    "failed with "
                                            + failed.text("reason")
                                            + lastAttempt(trace)
                                            + crashedEngine(trace)
                                            + withheldPrompt(trace)
                                            + exhaustedRetryBudget(trace)
                                            + replicaNotReady(trace)
                                            + replicaNotices(trace));
        }
    },
    /** The response of a replica was forwarded to the caller. */
    ANSWERED {
        @Override
        Optional<String> explain(RequestTrace trace) {
            return trace.outcome(EventCode.ANSWERED)
                    .map(
                            answered ->
                                    "answered with "
                                            + answered.text("status")
                                            + ", first bytes after "
                                            + answered.text("first_ms")
                                            + " ms"
                                            + lastAttempt(trace)
                                            + trace.lastContextEvent(EventCode.STORE_LOST)
                                                    .map(lost -> "; the store was unreachable")
                                                    .orElse(""));
        }
    },
    /** The logs contain no outcome of the request. */
    UNFINISHED {
        @Override
        Optional<String> explain(RequestTrace trace) {
            return Optional.of(
                    "the logs have no outcome: its VM was killed or the request is still running");
        }
    };

    /**
     * Describes the likely cause in one line.
     *
     * @param trace the request
     * @return text without a trailing full stop
     */
    public static String of(RequestTrace trace) {
        return Arrays.stream(values())
                .map(cause -> cause.explain(trace))
                .flatMap(Optional::stream)
                .findFirst()
                .orElseThrow();
    }

    abstract Optional<String> explain(RequestTrace trace);

    private static String lastAttempt(RequestTrace trace) {
        return trace.last(EventCode.ATTEMPT_ENDED)
                .map(
                        ended ->
                                " after "
                                        + ended.text("end")
                                        + " at "
                                        + ended.text("target")
                                        + " ("
                                        + ended.text("cause")
                                        + ")")
                .orElse("");
    }

    private static String crashedEngine(RequestTrace trace) {
        return trace.last(EventCode.CRASH_SUSPECT)
                .map(
                        suspect ->
                                "; engine "
                                        + suspect.text("replica")
                                        + " crashed, and the request may have caused it")
                .orElse("");
    }

    private static String withheldPrompt(RequestTrace trace) {
        return trace.last(EventCode.PROMPT_WITHHELD)
                .map(withheld -> "; its prompt parts " + withheld.text("parts") + " crash engines")
                .orElse("");
    }

    private static String exhaustedRetryBudget(RequestTrace trace) {
        return trace.last(EventCode.RETRY_ASKED)
                .filter(retry -> retry.text("granted").equals("false"))
                .map(
                        retry ->
                                "; no retry to "
                                        + retry.text("service")
                                        + " was left on this VM, one of "
                                        + retry.text("vms"))
                .orElse("");
    }

    private static String replicasOutOfReach(RequestTrace trace) {
        return trace.lastContextEvent(EventCode.REPLICAS_OUT_OF_REACH)
                .map(
                        lost ->
                                "; the VM had lost its paths to the "
                                        + lost.text("replicas")
                                        + " replicas of "
                                        + lost.text("service")
                                        + " in its region, which "
                                        + lost.text("vms_reaching")
                                        + " other VMs there reached")
                .orElse("");
    }

    private static String replicaNotReady(RequestTrace trace) {
        return trace.context().stream()
                .filter(decision -> decision.code() == EventCode.REPLICA_CHANGED)
                .filter(decision -> !decision.text("state").startsWith("READY"))
                .reduce((first, second) -> second)
                .map(
                        change ->
                                "; replica "
                                        + change.text("replica")
                                        + " was "
                                        + change.text("state").toLowerCase(Locale.ROOT))
                .orElse("");
    }

    /** State that a replica announced in a response that this VM had read before. */
    private static String replicaNotices(RequestTrace trace) {
        String leaves =
                trace.lastContextEvent(EventCode.REPLICA_LEAVING)
                        .map(
                                notice ->
                                        "; replica "
                                                + notice.text("replica")
                                                + " said that it leaves")
                        .orElse("");
        String quiet =
                trace.lastContextEvent(EventCode.REPLICA_QUIET)
                        .map(
                                notice ->
                                        "; replica "
                                                + notice.text("replica")
                                                + " wanted no requests for "
                                                + notice.text("kept_ms")
                                                + " ms")
                        .orElse("");
        return leaves + quiet;
    }
}
