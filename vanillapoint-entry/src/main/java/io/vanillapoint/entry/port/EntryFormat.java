package io.vanillapoint.entry.port;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.List;

/** Paths and bodies of a platform's queries to entry VMs. Implementations are stateless. */
public interface EntryFormat {
    /**
     * Parses a query.
     *
     * @param path path without the query
     * @param query query parameters
     * @return the query, {@link EntryRequest.Unknown} if the platform does not define it
     */
    EntryRequest parse(String path, MultiMap query);

    /**
     * Encodes the response to a directory query.
     *
     * @param addresses addresses of VMs, {@code host:port}
     * @param seconds time for which the response may be cached, in seconds
     * @return body, JSON
     */
    Buffer encodeDirectory(List<String> addresses, int seconds);
}
