package io.vanillapoint.entry.port;

import io.vanillapoint.core.message.HeaderField;
import io.vanillapoint.core.upstream.LoadReport;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Decoded head of an upstream's response. Immutable.
 *
 * @param status HTTP status
 * @param requestId id of the request that the upstream says it answers, empty if absent
 * @param notExecuted true if the upstream states that it did not run the request
 * @param signed true if the response carries the upstream's signature
 * @param misdirected true if a replica other than the intended one answered at the address
 * @param leaving true if the upstream is shutting down and wants no new requests
 * @param retryAfterMillis time in milliseconds after which to retry, empty if absent
 * @param rejectionLimit rejections in a second that the upstream survives, empty if absent
 * @param load load that the upstream reports, empty if absent or malformed
 * @param invalidHeaders descriptions of malformed headers, for the log
 * @param headers headers to forward to the caller
 */
public record ResponseEnvelope(
        int status,
        Optional<String> requestId,
        boolean notExecuted,
        boolean signed,
        boolean misdirected,
        boolean leaving,
        OptionalLong retryAfterMillis,
        OptionalInt rejectionLimit,
        Optional<LoadReport> load,
        List<String> invalidHeaders,
        List<HeaderField> headers) {
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int LAST_STATUS = 999;
    private static final String EVENT_STREAM = "text/event-stream";

    /** Statuses that tell a caller that its request has not run. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    /** Copies the lists. */
    public ResponseEnvelope {
        invalidHeaders = List.copyOf(invalidHeaders);
        headers = List.copyOf(headers);
    }

    /**
     * Tells whether the status ends an exchange. A caller that gets another one keeps waiting for
     * the final response, or cannot read it.
     *
     * @return true for a status from 200 to 999
     */
    public boolean isFinal() {
        return status >= FIRST_SUCCESS && status <= LAST_STATUS;
    }

    /**
     * Tells whether the response is a success.
     *
     * @return true for a status from 200 to 299
     */
    public boolean success() {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }

    /**
     * Tells whether the upstream failed.
     *
     * @return true for a status from 500
     */
    public boolean serverError() {
        return status >= FIRST_SERVER_ERROR;
    }

    /**
     * Tells whether the status would tell a caller that its request has not run, although the
     * upstream does not state that. The caller must not get it, since the request may have run.
     *
     * @return true if the status has to be replaced
     */
    public boolean claimsNotRun() {
        return !notExecuted && NOT_RUN_STATUSES.contains(status);
    }

    /**
     * Media type of the body.
     *
     * @return type in lower case without parameters, empty text if the response states none
     */
    public String mediaType() {
        return header("content-type").split(";", 2)[0].strip().toLowerCase(Locale.ROOT);
    }

    /**
     * Tells whether the body may consist of events, so that it is complete only behind one.
     *
     * @return false if the response states another media type
     */
    public boolean mayHoldEvents() {
        String type = mediaType();
        return type.isEmpty() || type.equals(EVENT_STREAM);
    }

    /**
     * Tells whether the body is encoded. No request asks for that, so such a body is not the
     * upstream's.
     *
     * @return true if the response states an encoding
     */
    public boolean encoded() {
        String encoding = header("content-encoding");
        return !encoding.isEmpty() && !encoding.equalsIgnoreCase("identity");
    }

    private String header(String name) {
        return headers.stream()
                .filter(header -> header.name().equalsIgnoreCase(name))
                .map(HeaderField::value)
                .findFirst()
                .orElse("");
    }
}
