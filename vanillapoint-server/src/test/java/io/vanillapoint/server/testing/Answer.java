package io.vanillapoint.server.testing;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.MultiMap;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * What a caller got.
 *
 * @param status HTTP status, 0 if the connection was cut
 * @param headers headers
 * @param body body as far as it came
 * @param whole true if the end of the body came
 */
public record Answer(int status, MultiMap headers, String body, boolean whole) {
    /** The body as JSON. */
    public JsonNode json() {
        try {
            return new ObjectMapper().readTree(body);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Code of an error. */
    public String errorCode() {
        return json().path("error").path("code").asText();
    }

    /** What an error tells about the run. */
    public String run() {
        return json().path("error").path("run").asText();
    }
}
