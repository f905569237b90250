package io.vanillapoint.core.idempotency;

import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.message.CompleteKey;
import io.vanillapoint.core.message.KeyOrigin;
import io.vanillapoint.core.message.KeyOutcome;
import io.vanillapoint.core.message.RegisterReply;
import io.vanillapoint.core.message.RegisterRequest;
import io.vanillapoint.core.message.StoredAnswer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * One attempt of a request that may run only once: asks the VMs that remember its key, decides, and
 * tells them how the attempt ended.
 *
 * <p>Invariant: it decides once, after every VM has answered or was given up. Confined to one
 * thread; the caller sends the messages.
 */
public final class KeyRegistration {
    private final String key;
    private final String attempt;
    private final String fingerprint;
    private final KeyOrigin origin;
    private final List<VmId> homes;
    private final boolean firstAttempt;
    private final Set<VmId> waitingFor;
    private final List<RegisterReply> replies = new ArrayList<>();

    /**
     * Creates a registration.
     *
     * @param key customer and key
     * @param attempt name of the attempt, unique
     * @param fingerprint digest of the request
     * @param origin where the key comes from
     * @param homes VMs that remember the key
     * @param firstAttempt true if the caller says that it has made no other attempt
     */
    public KeyRegistration(
            String key,
            String attempt,
            String fingerprint,
            KeyOrigin origin,
            List<VmId> homes,
            boolean firstAttempt) {
        this.key = key;
        this.attempt = attempt;
        this.fingerprint = fingerprint;
        this.origin = origin;
        this.homes = List.copyOf(homes);
        this.firstAttempt = firstAttempt;
        this.waitingFor = new HashSet<>(homes);
    }

    /**
     * VMs to ask.
     *
     * @return immutable list
     */
    public List<VmId> homes() {
        return homes;
    }

    /**
     * The question for each of them.
     *
     * @param id number of the exchange
     * @return the message
     */
    public RegisterRequest request(long id) {
        return new RegisterRequest(id, key, attempt, fingerprint, origin);
    }

    /**
     * Takes an answer.
     *
     * @param home who answers
     * @param reply the answer
     */
    public void answer(VmId home, RegisterReply reply) {
        if (waitingFor.remove(home)) {
            replies.add(reply);
        }
    }

    /**
     * Gives up waiting for a VM.
     *
     * @param home who does not answer
     */
    public void noAnswer(VmId home) {
        waitingFor.remove(home);
    }

    /**
     * The decision.
     *
     * @return nothing while answers are awaited
     */
    public Optional<KeyDecision> decision() {
        if (!waitingFor.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(KeyDecision.of(homes.size(), replies, firstAttempt));
    }

    /**
     * The message for each of the VMs at the end of the attempt.
     *
     * @param outcome how it ended
     * @param answer the answer to keep, if there is one
     * @return the message
     */
    public CompleteKey completion(KeyOutcome outcome, Optional<StoredAnswer> answer) {
        return new CompleteKey(key, attempt, outcome, answer);
    }
}
