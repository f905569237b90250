package io.vanillapoint.core.idempotency;

import io.vanillapoint.core.message.CompleteKey;
import io.vanillapoint.core.message.KeyOrigin;
import io.vanillapoint.core.message.KeyOutcome;
import io.vanillapoint.core.message.KeyStatus;
import io.vanillapoint.core.message.RegisterReply;
import io.vanillapoint.core.message.RegisterRequest;
import io.vanillapoint.core.message.StoredResponse;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Idempotency keys that one VM stores.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>A key belongs to one attempt at a time and is released only when that attempt ends with
 *       {@link KeyOutcome#NOT_RUN}.
 *   <li>{@link KeyStatus#NEW} is returned only if it is certain that no other attempt holds the key
 *       here: the key is stored as unused, or every key registered within the period in which a
 *       retry may arrive is still stored.
 * </ul>
 *
 * <p>Confined to one thread.
 */
public final class KeyRegistry {
    private final int maxEntries;
    private final long maxResponseBytes;
    private final long attemptTimeoutMillis;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private long completeSinceMillis;
    private long responseBytes;

    /**
     * Creates an empty registry.
     *
     * @param nowMillis monotonic time of the process start
     * @param maxEntries largest number of keys
     * @param maxResponseBytes largest total size of the stored responses in bytes
     * @param attemptTimeoutMillis time after which an attempt that has not ended is considered lost
     */
    public KeyRegistry(
            long nowMillis, int maxEntries, long maxResponseBytes, long attemptTimeoutMillis) {
        this.completeSinceMillis = nowMillis;
        this.maxEntries = maxEntries;
        this.maxResponseBytes = maxResponseBytes;
        this.attemptTimeoutMillis = attemptTimeoutMillis;
    }

    /**
     * Time since which every registered key is still stored.
     *
     * @return monotonic time in milliseconds
     */
    public long completeSinceMillis() {
        return completeSinceMillis;
    }

    /**
     * Registers an attempt or a newly issued key.
     *
     * @param nowMillis monotonic time
     * @param request the registration
     * @param canProveAbsence whether a caller-chosen key that is not stored was certainly not
     *     registered here within the period in which a retry may arrive
     * @return state of the key before this registration
     */
    public RegisterReply register(
            long nowMillis, RegisterRequest request, boolean canProveAbsence) {
        Entry entry = entries.get(request.key());
        if (entry == null) {
            if (request.origin() == KeyOrigin.ISSUING) {
                add(request.key(), new Entry(nowMillis));
                return reply(request, KeyStatus.NEW, true, null);
            }
            if (request.origin() == KeyOrigin.ISSUED || !canProveAbsence) {
                return reply(request, KeyStatus.UNKNOWN, true, null);
            }
            entry = new Entry(nowMillis);
            add(request.key(), entry);
        }
        return registerAttempt(nowMillis, request, entry);
    }

    /**
     * Records how an attempt ended. Ignored if the key is held by another attempt, or if the
     * attempt's response is stored already: messages may be repeated and overtake each other.
     *
     * @param message outcome of the attempt
     */
    public void complete(CompleteKey message) {
        Entry entry = entries.get(message.key());
        boolean isCurrent = entry != null && message.attempt().equals(entry.attempt);
        if (!isCurrent || entry.status == KeyStatus.ANSWERED) {
            return;
        }
        switch (message.outcome()) {
            case NOT_RUN -> entry.release();
            case UNKNOWN -> entry.status = KeyStatus.UNKNOWN;
            case ANSWERED -> storeResponse(entry, message.response());
            default -> throw new IllegalStateException("outcome " + message.outcome());
        }
    }

    private RegisterReply registerAttempt(long nowMillis, RegisterRequest request, Entry entry) {
        if (entry.attempt == null) {
            entry.assign(request, nowMillis);
            return reply(request, KeyStatus.NEW, true, null);
        }
        boolean matches = entry.fingerprint.equals(request.fingerprint());
        boolean running = entry.status == KeyStatus.RUNNING;
        if (running && entry.attempt.equals(request.attempt())) {
            return reply(request, KeyStatus.NEW, matches, null);
        }
        if (running && nowMillis - entry.heldSinceMillis > attemptTimeoutMillis) {
            return reply(request, KeyStatus.UNKNOWN, matches, null);
        }
        return reply(request, entry.status, matches, entry.response);
    }

    private void storeResponse(Entry entry, Optional<StoredResponse> response) {
        boolean fits =
                response.isPresent()
                        && responseBytes + response.get().body().length <= maxResponseBytes;
        if (!fits) {
            entry.status = KeyStatus.UNKNOWN;
            return;
        }
        entry.status = KeyStatus.ANSWERED;
        entry.response = response.get();
        responseBytes += response.get().body().length;
    }

    private static RegisterReply reply(
            RegisterRequest request, KeyStatus status, boolean matches, StoredResponse response) {
        return new RegisterReply(request.id(), status, matches, Optional.ofNullable(response));
    }

    private void add(String key, Entry entry) {
        entries.put(key, entry);
        Iterator<Entry> oldest = entries.values().iterator();
        while (entries.size() > maxEntries) {
            Entry evicted = oldest.next();
            oldest.remove();
            completeSinceMillis = Math.max(completeSinceMillis, evicted.createdMillis + 1);
            if (evicted.response != null) {
                responseBytes -= evicted.response.body().length;
            }
        }
    }

    /** State of one key. */
    private static final class Entry {
        private final long createdMillis;
        private String attempt;
        private String fingerprint;
        private long heldSinceMillis;
        private KeyStatus status;
        private StoredResponse response;

        private Entry(long createdMillis) {
            this.createdMillis = createdMillis;
        }

        private void assign(RegisterRequest request, long nowMillis) {
            attempt = request.attempt();
            fingerprint = request.fingerprint();
            heldSinceMillis = nowMillis;
            status = KeyStatus.RUNNING;
        }

        private void release() {
            if (status == KeyStatus.RUNNING) {
                attempt = null;
            }
        }
    }
}
