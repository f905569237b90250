package io.vanillapoint.server.traffic;

import io.vertx.core.MultiMap;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Extracts the API key from a request's headers. Stateless. */
final class CallerKey {
    private static final String BEARER = "bearer ";
    private static final int MAX_KEY_CHARACTERS = 512;

    private CallerKey() {}

    /**
     * Reads the key from {@code Authorization: Bearer} or {@code X-Api-Key}.
     *
     * @param headers headers of the request
     * @return the key; empty if none is given or its length is out of range
     */
    static Optional<String> find(MultiMap headers) {
        String authorization = headers.get("authorization");
        if (authorization != null && isBearer(authorization)) {
            return checkLength(authorization.substring(BEARER.length()).trim());
        }
        String apiKey = headers.get("x-api-key");
        return apiKey == null ? Optional.empty() : checkLength(apiKey.trim());
    }

    /** True if a body contains the key in plain text. */
    static boolean bodyContains(byte[] body, String key) {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        for (int start = 0; start + keyBytes.length <= body.length; start++) {
            if (body[start] == keyBytes[0] && matches(body, start, keyBytes)) {
                return true;
            }
        }
        return false;
    }

    private static boolean matches(byte[] body, int start, byte[] keyBytes) {
        for (int i = 0; i < keyBytes.length; i++) {
            if (body[start + i] != keyBytes[i]) {
                return false;
            }
        }
        return true;
    }

    private static boolean isBearer(String text) {
        return text.regionMatches(true, 0, BEARER, 0, BEARER.length());
    }

    private static Optional<String> checkLength(String key) {
        boolean lengthAllowed = !key.isEmpty() && key.length() <= MAX_KEY_CHARACTERS;
        return lengthAllowed ? Optional.of(key) : Optional.empty();
    }
}
