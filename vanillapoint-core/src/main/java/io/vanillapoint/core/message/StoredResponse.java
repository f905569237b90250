package io.vanillapoint.core.message;

import java.util.Arrays;

/**
 * A stored response. Immutable: callers must not modify the body.
 *
 * @param status HTTP status
 * @param contentType media type
 * @param body response body
 */
public record StoredResponse(int status, String contentType, byte[] body) {
    @Override
    public boolean equals(Object other) {
        return other instanceof StoredResponse that
                && status == that.status
                && contentType.equals(that.contentType)
                && Arrays.equals(body, that.body);
    }

    @Override
    public int hashCode() {
        return 31 * status + Arrays.hashCode(body);
    }

    @Override
    public String toString() {
        return "StoredAnswer[" + status + ", " + body.length + " bytes]";
    }
}
