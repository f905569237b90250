package io.vanillapoint.server.traffic;

import io.vanillapoint.api.model.KeyDigest;
import java.nio.charset.StandardCharsets;

/** Digest of a request, to detect an idempotency key reused for another request. Stateless. */
final class RequestFingerprint {
    private RequestFingerprint() {}

    static String of(RunRequest request) {
        String body = new String(request.plan().body(), StandardCharsets.ISO_8859_1);
        String requestLine = request.method() + " " + request.target() + " " + request.plan().uri();
        return KeyDigest.of(requestLine + "\n" + body).hex();
    }
}
