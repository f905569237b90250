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
        Optional<String> explain(RequestStory story) {
            return story.own().isEmpty()
                    ? Optional.of(
                            "no VM logged this request: none received it, or log lines are missing")
                    : Optional.empty();
        }
    },
    /** The request was not permitted or was malformed. */
    DENIED {
        @Override
        Optional<String> explain(RequestStory story) {
            return story.ending(EventCode.DENIED)
                    .map(
                            denied ->
                                    "denied with reason "
                                            + denied.text("reason")
                                            + " under configuration version "
                                            + denied.text("version")
                                            + story.learnt(EventCode.STORE_LOST)
                                                    .map(lost -> ", possibly stale: store lost")
                                                    .orElse(""));
        }
    },
    /** The customer's tokens were exhausted. */
    TOKENS_SPENT {
        @Override
        Optional<String> explain(RequestStory story) {
            return story.ending(EventCode.TOKENS_REFUSED)
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
    /** The caller disconnected before the answer was complete. */
    CALLER_LEFT {
        @Override
        Optional<String> explain(RequestStory story) {
            return story.ending(EventCode.CALLER_LEFT)
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
        Optional<String> explain(RequestStory story) {
            return story.ending(EventCode.REFUSED)
                    .map(
                            refused ->
                                    "refused before it was run: "
                                            + refused.text("reason")
                                            + story.learnt(EventCode.EVACUATION)
                                                    .map(
                                                            zone ->
                                                                    "; evacuation of zone "
                                                                            + zone.text("zone"))
                                                    .orElse("")
                                            + noRetryLeft(story)
                                            + leaving(story)
                                            + said(story));
        }
    },
    /** The request failed and may have run. */
    FAILED {
        @Override
        Optional<String> explain(RequestStory story) {
            return story.ending(EventCode.REQUEST_FAILED)
                    .map(
                            failed ->
                                    "failed with "
                                            + failed.text("reason")
                                            + lastAttempt(story)
                                            + noRetryLeft(story)
                                            + leaving(story)
                                            + said(story));
        }
    },
    /** The answer of a replica was forwarded to the caller. */
    ANSWERED {
        @Override
        Optional<String> explain(RequestStory story) {
            return story.ending(EventCode.ANSWERED)
                    .map(
                            answered ->
                                    "answered with "
                                            + answered.text("status")
                                            + ", first bytes after "
                                            + answered.text("first_ms")
                                            + " ms"
                                            + lastAttempt(story)
                                            + story.learnt(EventCode.STORE_LOST)
                                                    .map(lost -> "; the store was unreachable")
                                                    .orElse(""));
        }
    },
    /** The logs contain no outcome of the request. */
    UNFINISHED {
        @Override
        Optional<String> explain(RequestStory story) {
            return Optional.of(
                    "the logs have no outcome: its VM was killed or the request is still running");
        }
    };

    /**
     * Describes the likely cause in one line.
     *
     * @param story the request
     * @return text without a trailing full stop
     */
    public static String of(RequestStory story) {
        return Arrays.stream(values())
                .map(cause -> cause.explain(story))
                .flatMap(Optional::stream)
                .findFirst()
                .orElseThrow();
    }

    abstract Optional<String> explain(RequestStory story);

    private static String lastAttempt(RequestStory story) {
        return story.last(EventCode.ATTEMPT_ENDED)
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

    private static String noRetryLeft(RequestStory story) {
        return story.last(EventCode.RETRY_ASKED)
                .filter(retry -> retry.text("granted").equals("false"))
                .map(
                        retry ->
                                "; no retry to "
                                        + retry.text("service")
                                        + " was left on this VM, one of "
                                        + retry.text("vms"))
                .orElse("");
    }

    private static String leaving(RequestStory story) {
        return story.context().stream()
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

    /** State that a replica announced in an answer that this VM had read before. */
    private static String said(RequestStory story) {
        String leaves =
                story.learnt(EventCode.REPLICA_LEAVING)
                        .map(word -> "; replica " + word.text("replica") + " said that it leaves")
                        .orElse("");
        String quiet =
                story.learnt(EventCode.REPLICA_QUIET)
                        .map(
                                word ->
                                        "; replica "
                                                + word.text("replica")
                                                + " wanted no requests for "
                                                + word.text("kept_ms")
                                                + " ms")
                        .orElse("");
        return leaves + quiet;
    }
}
