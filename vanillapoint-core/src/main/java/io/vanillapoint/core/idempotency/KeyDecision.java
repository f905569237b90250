package io.vanillapoint.core.idempotency;

import io.vanillapoint.core.message.KeyStatus;
import io.vanillapoint.core.message.RegisterReply;
import io.vanillapoint.core.message.StoredAnswer;
import java.util.List;
import java.util.Optional;

/**
 * What to do with a request that may run only once, once the VMs that remember its key were asked.
 * Immutable.
 *
 * <p>A first attempt must be registered with at least one of them. Any other attempt must be
 * registered with all of them, so that it would meet the first one wherever that was registered.
 *
 * @param action what to do
 * @param answer the first answer, for {@link Action#REPLAY}
 */
public record KeyDecision(Action action, Optional<StoredAnswer> answer) {
    /**
     * Decides.
     *
     * @param homes number of VMs that remember the key
     * @param replies answers of those that could be asked
     * @param firstAttempt true if the caller says that it has made no other attempt
     * @return the decision
     */
    public static KeyDecision of(int homes, List<RegisterReply> replies, boolean firstAttempt) {
        if (replies.stream().anyMatch(reply -> !reply.fingerprintMatches())) {
            return decision(Action.REUSED);
        }
        Optional<StoredAnswer> answer =
                replies.stream().flatMap(reply -> reply.answer().stream()).findFirst();
        if (answer.isPresent()) {
            return new KeyDecision(Action.REPLAY, answer);
        }
        if (any(replies, KeyStatus.RUNNING)) {
            return decision(Action.IN_PROGRESS);
        }
        if (replies.isEmpty()) {
            return decision(Action.UNAVAILABLE);
        }
        long registered = replies.stream().filter(reply -> reply.status() == KeyStatus.NEW).count();
        boolean enough = firstAttempt ? registered > 0 : registered == homes;
        return decision(enough ? Action.RUN : Action.UNKNOWN);
    }

    private static boolean any(List<RegisterReply> replies, KeyStatus status) {
        return replies.stream().anyMatch(reply -> reply.status() == status);
    }

    private static KeyDecision decision(Action action) {
        return new KeyDecision(action, Optional.empty());
    }

    /** What to do. */
    public enum Action {
        /** Dispatch the request. */
        RUN,
        /** Send the first answer again. */
        REPLAY,
        /** Refuse, since another attempt runs. */
        IN_PROGRESS,
        /** Refuse, since another attempt may have run. */
        UNKNOWN,
        /** Refuse, since the key belongs to another request. */
        REUSED,
        /** Refuse, since nobody who remembers the key could be asked. */
        UNAVAILABLE
    }
}
