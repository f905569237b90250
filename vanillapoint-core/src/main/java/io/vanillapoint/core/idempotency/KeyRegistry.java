package io.vanillapoint.core.idempotency;

import io.vanillapoint.core.message.CompleteKey;
import io.vanillapoint.core.message.KeyOutcome;
import io.vanillapoint.core.message.KeyStatus;
import io.vanillapoint.core.message.RegisterReply;
import io.vanillapoint.core.message.RegisterRequest;
import io.vanillapoint.core.message.StoredAnswer;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What one VM remembers of idempotency keys.
 *
 * <p>Invariants: a key belongs to one attempt at a time, and only the end of that attempt with
 * {@link KeyOutcome#NOT_RUN} frees it. When an entry is forgotten, {@link
 * RegisterReply#remembersSinceMillis()} moves past its time, so that nobody takes the gap for
 * knowledge. Confined to one thread.
 */
public final class KeyRegistry {
    private final int maxEntries;
    private final long maxAnswerBytes;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private long remembersSinceMillis;
    private long answerBytes;

    /**
     * Creates an empty registry.
     *
     * @param startMillis wall time of the process start
     * @param maxEntries largest number of keys
     * @param maxAnswerBytes largest size of all kept answers in bytes
     */
    public KeyRegistry(long startMillis, int maxEntries, long maxAnswerBytes) {
        this.remembersSinceMillis = startMillis;
        this.maxEntries = maxEntries;
        this.maxAnswerBytes = maxAnswerBytes;
    }

    /**
     * Wall time since when every key has been remembered.
     *
     * @return milliseconds since 1970
     */
    public long remembersSinceMillis() {
        return remembersSinceMillis;
    }

    /**
     * Registers an attempt.
     *
     * @param wallMillis wall time now
     * @param request the registration
     * @return what was known of the key; {@link KeyStatus#NEW} if it now belongs to the attempt
     */
    public RegisterReply register(long wallMillis, RegisterRequest request) {
        Entry entry = entries.get(request.key());
        if (entry == null) {
            entry = new Entry(request.attempt(), request.fingerprint(), wallMillis);
            entries.put(request.key(), entry);
            forgetOldest();
            return reply(request, KeyStatus.NEW, true, null);
        }
        boolean matches = entry.fingerprint.equals(request.fingerprint());
        boolean sameAttempt = entry.attempt.equals(request.attempt());
        KeyStatus status =
                sameAttempt && entry.status == KeyStatus.RUNNING ? KeyStatus.NEW : entry.status;
        return reply(request, status, matches, entry.answer);
    }

    /**
     * Records how an attempt ended. A message of another attempt does nothing.
     *
     * @param message the end
     */
    public void complete(CompleteKey message) {
        Entry entry = entries.get(message.key());
        if (entry == null || !entry.attempt.equals(message.attempt())) {
            return;
        }
        switch (message.outcome()) {
            case NOT_RUN -> entries.remove(message.key());
            case UNKNOWN -> entry.status = KeyStatus.UNKNOWN;
            case ANSWERED -> keep(entry, message.answer());
            default -> throw new IllegalStateException("outcome " + message.outcome());
        }
    }

    private void keep(Entry entry, Optional<StoredAnswer> answer) {
        boolean fits =
                answer.isPresent() && answerBytes + answer.get().body().length <= maxAnswerBytes;
        if (!fits) {
            entry.status = KeyStatus.UNKNOWN;
            return;
        }
        entry.status = KeyStatus.ANSWERED;
        entry.answer = answer.get();
        answerBytes += answer.get().body().length;
    }

    private RegisterReply reply(
            RegisterRequest request, KeyStatus status, boolean matches, StoredAnswer answer) {
        return new RegisterReply(
                request.id(), status, remembersSinceMillis, matches, Optional.ofNullable(answer));
    }

    private void forgetOldest() {
        Iterator<Entry> oldest = entries.values().iterator();
        while (entries.size() > maxEntries) {
            Entry entry = oldest.next();
            oldest.remove();
            remembersSinceMillis = Math.max(remembersSinceMillis, entry.createdMillis + 1);
            if (entry.answer != null) {
                answerBytes -= entry.answer.body().length;
            }
        }
    }

    /** State of one key. */
    private static final class Entry {
        private final String attempt;
        private final String fingerprint;
        private final long createdMillis;
        private KeyStatus status = KeyStatus.RUNNING;
        private StoredAnswer answer;

        private Entry(String attempt, String fingerprint, long createdMillis) {
            this.attempt = attempt;
            this.fingerprint = fingerprint;
            this.createdMillis = createdMillis;
        }
    }
}
