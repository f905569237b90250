package io.vanillapoint.core.idempotency;

import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.message.CompleteKey;
import io.vanillapoint.core.message.KeyOrigin;
import io.vanillapoint.core.message.KeyOutcome;
import io.vanillapoint.core.message.KeyStatus;
import io.vanillapoint.core.message.RegisterReply;
import io.vanillapoint.core.message.RegisterRequest;
import io.vanillapoint.core.message.StoredResponse;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Registration of one attempt of a request with an idempotency key at the key's homes. It collects
 * their replies, decides whether the attempt may run, and creates the message that reports the
 * outcome.
 *
 * <p>Invariant: the decision is available only after every home has replied or was given up.
 * Confined to one thread; the caller sends the messages.
 */
public final class KeyRegistration {
    /** Time until homes are asked again, in milliseconds; others withdraw in the meantime. */
    public static final long REPEAT_DELAY_MILLIS = 50;

    private static final int MAX_REPEATS = 10;

    private final String key;
    private final String attemptId;
    private final String fingerprint;
    private final KeyOrigin origin;
    private final List<VmId> homes;
    private final boolean firstAttempt;
    private final Set<VmId> pendingHomes;
    private final Map<VmId, RegisterReply> replies = new LinkedHashMap<>();
    private int repeatsLeft = MAX_REPEATS;

    /**
     * Creates a registration.
     *
     * @param key customer and key
     * @param attemptId unique id of the attempt
     * @param fingerprint digest of the request
     * @param origin where the key comes from
     * @param homes VMs that store the key
     * @param firstAttempt true if the caller states that it has made no other attempt
     */
    public KeyRegistration(
            String key,
            String attemptId,
            String fingerprint,
            KeyOrigin origin,
            List<VmId> homes,
            boolean firstAttempt) {
        this.key = key;
        this.attemptId = attemptId;
        this.fingerprint = fingerprint;
        this.origin = origin;
        this.homes = List.copyOf(homes);
        this.firstAttempt = firstAttempt;
        this.pendingHomes = new HashSet<>(homes);
    }

    /**
     * Homes of the key, to which the registration is sent.
     *
     * @return immutable list
     */
    public List<VmId> homes() {
        return homes;
    }

    /**
     * Creates the registration message for one home.
     *
     * @param id id of the exchange, returned in the reply
     * @return the message
     */
    public RegisterRequest request(long id) {
        return new RegisterRequest(id, key, attemptId, fingerprint, origin);
    }

    /**
     * Records a home's reply. A second reply of the same home is ignored unless it was asked again.
     *
     * @param home the VM that replied
     * @param reply its reply
     */
    public void onReply(VmId home, RegisterReply reply) {
        if (pendingHomes.remove(home)) {
            replies.put(home, reply);
        }
    }

    /**
     * Stops waiting for a home. A reply that it gave before stays valid.
     *
     * @param home the VM that does not reply
     */
    public void onTimeout(VmId home) {
        pendingHomes.remove(home);
        repeatsLeft = 0;
    }

    /**
     * Asks homes again if this attempt came first at the key's first home, but later than another
     * one at these. Of attempts that are registered at the same moment, only the first at that home
     * does so, and the others withdraw; otherwise all of them would be refused.
     *
     * @return homes to which {@link #request} is to be sent after {@link #REPEAT_DELAY_MILLIS};
     *     empty if the decision is final
     */
    public List<VmId> startRepeat() {
        boolean contested =
                decision().filter(now -> now.action() == KeyDecision.Action.IN_PROGRESS).isPresent()
                        && replies.containsKey(homes.get(0))
                        && replies.get(homes.get(0)).status() == KeyStatus.NEW;
        if (!contested || repeatsLeft == 0) {
            return List.of();
        }
        repeatsLeft--;
        List<VmId> contestedHomes =
                homes.stream()
                        .filter(replies::containsKey)
                        .filter(home -> replies.get(home).status() == KeyStatus.RUNNING)
                        .toList();
        pendingHomes.addAll(contestedHomes);
        return contestedHomes;
    }

    /**
     * The decision on the attempt.
     *
     * @return the decision, or empty while replies are pending
     */
    public Optional<KeyDecision> decision() {
        if (!pendingHomes.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                KeyDecision.of(homes.size(), List.copyOf(replies.values()), firstAttempt));
    }

    /**
     * Creates the message that tells the homes how the attempt ended.
     *
     * @param outcome how it ended
     * @param response the response to store, if there is one
     * @return the message
     */
    public CompleteKey completion(KeyOutcome outcome, Optional<StoredResponse> response) {
        return new CompleteKey(key, attemptId, outcome, response);
    }
}
