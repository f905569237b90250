package io.vanillapoint.server.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Limits on JSON of callers and upstreams, which is read into a tree: each part takes many times
 * the memory of its text. Stateless and thread-safe.
 */
final class JsonLimits {
    /**
     * Most parts (values, names and brackets) of one text; about 12 MB as a tree. A body with the
     * log probabilities of some thousand tokens has fewer.
     */
    static final int MAX_TOKENS = 200_000;

    private JsonLimits() {}

    /** Creates a mapper that rejects a text of more parts as malformed. */
    static ObjectMapper mapper() {
        StreamReadConstraints constraints =
                StreamReadConstraints.builder().maxTokenCount(MAX_TOKENS).build();
        return new ObjectMapper(JsonFactory.builder().streamReadConstraints(constraints).build());
    }
}
