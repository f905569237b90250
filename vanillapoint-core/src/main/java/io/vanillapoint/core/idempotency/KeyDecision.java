package io.vanillapoint.core.idempotency;

import io.vanillapoint.core.message.KeyStatus;
import io.vanillapoint.core.message.RegisterReply;
import io.vanillapoint.core.message.StoredResponse;
import java.util.List;
import java.util.Optional;

/**
 * Decision on a request with an idempotency key, from the replies of the key's homes. Immutable.
 *
 * <p>A first attempt must be registered with at least one home. Any other attempt must be
 * registered with all homes, so that it conflicts with the first attempt wherever that was
 * registered.
 *
 * @param action what to do with the request
 * @param response the stored response, for {@link Action#REPLAY}
 */
public record KeyDecision(Action action, Optional<StoredResponse> response) {
    /**
     * Decides from the replies of the homes.
     *
     * @param homes number of homes of the key
     * @param replies replies of the homes that could be reached
     * @param firstAttempt true if the caller states that it has made no other attempt
     * @return the decision
     */
    public static KeyDecision of(int homes, List<RegisterReply> replies, boolean firstAttempt) {
        if (replies.stream().anyMatch(reply -> !reply.fingerprintMatches())) {
            return withoutResponse(Action.REUSED);
        }
        Optional<StoredResponse> response =
                replies.stream().flatMap(reply -> reply.response().stream()).findFirst();
        if (response.isPresent()) {
            return new KeyDecision(Action.REPLAY, response);
        }
        if (anyHasStatus(replies, KeyStatus.RUNNING)) {
            return withoutResponse(Action.IN_PROGRESS);
        }
        if (replies.isEmpty()) {
            return withoutResponse(Action.UNAVAILABLE);
        }
        long registered = replies.stream().filter(reply -> reply.status() == KeyStatus.NEW).count();
        boolean mayRun = firstAttempt ? registered > 0 : registered == homes;
        return withoutResponse(mayRun ? Action.RUN : Action.UNKNOWN);
    }

    private static boolean anyHasStatus(List<RegisterReply> replies, KeyStatus status) {
        return replies.stream().anyMatch(reply -> reply.status() == status);
    }

    private static KeyDecision withoutResponse(Action action) {
        return new KeyDecision(action, Optional.empty());
    }

    /** What to do with a request. */
    public enum Action {
        /** Dispatch the request. */
        RUN,
        /** Send the stored response of the earlier attempt. */
        REPLAY,
        /** Refuse, since another attempt is running. */
        IN_PROGRESS,
        /** Refuse, since another attempt may have run. */
        UNKNOWN,
        /** Refuse, since the key was used for a different request. */
        REUSED,
        /** Refuse, since no home of the key could be reached. */
        UNAVAILABLE
    }
}
