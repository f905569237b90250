package io.vanillapoint.server.traffic;

import io.vanillapoint.core.message.HeaderField;
import io.vertx.core.MultiMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Selects the headers to pass on to an upstream and back to a caller. Stateless. */
final class HeaderFilter {
    private static final Set<String> FORWARDED_HEADERS =
            Set.of(
                    "accept",
                    "accept-language",
                    "content-type",
                    "content-language",
                    "if-match",
                    "if-none-match",
                    "traceparent",
                    "x-request-id");
    private static final Set<String> DROPPED_RESPONSE_HEADERS =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-connection",
                    "set-cookie",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade");

    private HeaderFilter() {}

    /**
     * Headers for an upstream: those on a fixed list, except any whose value contains the key.
     *
     * @param headers headers of the caller
     * @param key the caller's key, or null if there is none
     */
    static List<HeaderField> toUpstream(MultiMap headers, String key) {
        List<HeaderField> passed = new ArrayList<>();
        for (Map.Entry<String, String> header : headers) {
            boolean allowed = FORWARDED_HEADERS.contains(header.getKey().toLowerCase(Locale.ROOT));
            if (allowed && (key == null || !header.getValue().contains(key))) {
                passed.add(new HeaderField(header.getKey(), header.getValue()));
            }
        }
        return passed;
    }

    /** Headers for a caller: all except hop-by-hop headers and Set-Cookie. */
    static List<HeaderField> toCaller(MultiMap headers) {
        List<HeaderField> passed = new ArrayList<>();
        for (Map.Entry<String, String> header : headers) {
            if (!DROPPED_RESPONSE_HEADERS.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                passed.add(new HeaderField(header.getKey(), header.getValue()));
            }
        }
        return passed;
    }
}
