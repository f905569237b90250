package io.vanillapoint.entry.port;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.List;

/** Paths and bodies of a platform's questions to entry VMs. Implementations are stateless. */
public interface EntryFormat {
    /**
     * Reads a question.
     *
     * @param path path without the query
     * @param query parameters
     * @return the question
     */
    EntryQuestion question(String path, MultiMap query);

    /**
     * Writes the answer to a directory question.
     *
     * @param addresses addresses of VMs, {@code host:port}
     * @param seconds how long the answer holds
     * @return body, JSON
     */
    Buffer directory(List<String> addresses, int seconds);
}
