package io.vanillapoint.http;

/**
 * Reasons to refuse a request before the HTTP library reads it. None of these requests has run or
 * will run. Immutable.
 */
public enum RequestRefusal {
    /** The bytes are no request. */
    MALFORMED_HEAD(400, "Bad Request", "malformed_head"),
    /** The bytes behind the head are no body as the head announces it. */
    MALFORMED_BODY(400, "Bad Request", "malformed_body"),
    /** The head has not arrived in time. */
    HEAD_TOO_SLOW(408, "Request Timeout", "head_too_slow"),
    /** The body has not arrived in time. */
    BODY_TOO_SLOW(408, "Request Timeout", "body_too_slow"),
    /** The request line exceeds its limit. */
    REQUEST_LINE_TOO_LONG(414, "URI Too Long", "request_line_too_long"),
    /** The field lines exceed their limit. */
    HEAD_TOO_LARGE(431, "Request Header Fields Too Large", "head_too_large"),
    /** The head does not fit beside those that are held now. */
    NO_MEMORY(503, "Service Unavailable", "memory_full"),
    /** The version is neither HTTP/1.0 nor HTTP/1.1. */
    UNKNOWN_VERSION(505, "HTTP Version Not Supported", "unknown_version");

    private final int status;
    private final String phrase;
    private final String reason;

    RequestRefusal(int status, String phrase, String reason) {
        this.status = status;
        this.phrase = phrase;
        this.reason = reason;
    }

    /**
     * Status of the response.
     *
     * @return HTTP status
     */
    public int status() {
        return status;
    }

    /**
     * Reason phrase of the response.
     *
     * @return text of the status line
     */
    public String phrase() {
        return phrase;
    }

    /**
     * Short name for logs, metrics and bodies.
     *
     * @return lower-case words joined by underscores
     */
    public String reason() {
        return reason;
    }

    /**
     * Tells whether the same request may be accepted later.
     *
     * @return true if the refusal states when to come back
     */
    public boolean temporary() {
        return this == NO_MEMORY;
    }
}
