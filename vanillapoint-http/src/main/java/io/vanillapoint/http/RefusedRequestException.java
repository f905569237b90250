package io.vanillapoint.http;

import java.io.IOException;

/** Thrown if the bytes of a connection are no request that is served. Immutable. */
final class RefusedRequestException extends IOException {
    private static final long serialVersionUID = 1L;

    private final RequestRefusal refusal;

    RefusedRequestException(RequestRefusal refusal) {
        super(refusal.reason());
        this.refusal = refusal;
    }

    /** Why the request is refused. */
    RequestRefusal refusal() {
        return refusal;
    }
}
