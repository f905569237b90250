package io.vanillapoint.server.testing;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.MultiMap;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Response that a caller received.
 *
 * @param status HTTP status, 0 if the connection failed before the response head
 * @param headers response headers, null without a response head
 * @param body received part of the body
 * @param complete true if the body was received completely
 */
public record CallerResponse(int status, MultiMap headers, String body, boolean complete) {
    /** The body as JSON. */
    public JsonNode json() {
        try {
            return new ObjectMapper().readTree(body);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The code of an error response. */
    public String errorCode() {
        return json().path("error").path("code").asText();
    }

    /** The run state of an error response. */
    public String runState() {
        return json().path("error").path("run").asText();
    }
}
