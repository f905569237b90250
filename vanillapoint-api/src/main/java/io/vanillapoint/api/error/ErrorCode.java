package io.vanillapoint.api.error;

/**
 * Errors that callers and operators see. The code is stable: clients may match on it. Immutable.
 */
public enum ErrorCode {
    /** The key is missing, unknown or revoked. */
    UNKNOWN_KEY("unknown_key", 401, RunState.NOT_RUN),
    /** The operator key is missing or wrong. */
    OPERATOR_KEY_REQUIRED("operator_key_required", 401, RunState.NOT_RUN),
    /** The region of this VM is not permitted for the customer. */
    REGION_NOT_PERMITTED("region_not_permitted", 421, RunState.NOT_RUN),
    /** The customer may not call this model or service. */
    NOT_GRANTED("not_granted", 403, RunState.NOT_RUN),
    /** No such path, model or service. */
    NOT_FOUND("not_found", 404, RunState.NOT_RUN),
    /** The request is malformed. */
    BAD_REQUEST("bad_request", 400, RunState.NOT_RUN),
    /** The header section of the request is larger than the limit. */
    HEADERS_TOO_LARGE("headers_too_large", 431, RunState.NOT_RUN),
    /** The body is larger than the limit. */
    BODY_TOO_LARGE("body_too_large", 413, RunState.NOT_RUN),
    /** The customer's rate and burst are exhausted at the moment. */
    RATE_EXCEEDED("rate_exceeded", 429, RunState.NOT_RUN),
    /** The request needs more tokens than the customer's burst and can never be admitted. */
    OVER_BURST("over_burst", 422, RunState.NOT_RUN),
    /** No VM that holds a part of the customer's rate could be reached. */
    RATE_UNAVAILABLE("rate_unavailable", 503, RunState.NOT_RUN),
    /** This VM runs as many requests as its limit allows and its queue is full. */
    OVERLOADED("overloaded", 503, RunState.NOT_RUN),
    /** The request waited in the queue longer than the limit allows. */
    QUEUE_TIMEOUT("queue_timeout", 503, RunState.NOT_RUN),
    /** No upstream in a permitted region accepts the request at the moment. */
    NO_UPSTREAM("no_upstream", 503, RunState.NOT_RUN),
    /** This VM is shutting down. */
    SHUTTING_DOWN("shutting_down", 503, RunState.NOT_RUN),
    /** This VM has not read its configuration yet. */
    NOT_READY("not_ready", 503, RunState.NOT_RUN),
    /** The upstream could not be reached, and no part of the request was sent. */
    UPSTREAM_UNREACHABLE("upstream_unreachable", 502, RunState.NOT_RUN),
    /** The upstream failed after part of the request was sent. */
    UPSTREAM_FAILED("upstream_failed", 502, RunState.UNKNOWN),
    /** The upstream did not answer in time. */
    UPSTREAM_TIMEOUT("upstream_timeout", 504, RunState.UNKNOWN),
    /** A request with the same idempotency key is running. */
    IN_PROGRESS("in_progress", 409, RunState.UNKNOWN),
    /** An earlier request with the same idempotency key may have run. */
    RUN_UNKNOWN("run_unknown", 409, RunState.UNKNOWN),
    /** The idempotency key was used for another request. */
    KEY_REUSED("key_reused", 422, RunState.NOT_RUN),
    /** No VM that stores the idempotency key could be reached. */
    REGISTRY_UNAVAILABLE("registry_unavailable", 503, RunState.NOT_RUN),
    /** The next hop has already been visited. */
    PATH_REVISITED("path_revisited", 508, RunState.NOT_RUN),
    /** A published value or a declaration is invalid. */
    INVALID_CONFIGURATION("invalid_configuration", 500, RunState.NOT_RUN),
    /** A setting of a process is invalid. */
    INVALID_SETTINGS("invalid_settings", 500, RunState.NOT_RUN),
    /** A message from another VM could not be read. */
    BAD_MESSAGE("bad_message", 500, RunState.NOT_RUN),
    /** An unexpected failure inside this process. */
    INTERNAL("internal", 500, RunState.UNKNOWN);

    private final String code;
    private final int httpStatus;
    private final RunState defaultRunState;

    ErrorCode(String code, int httpStatus, RunState defaultRunState) {
        this.code = code;
        this.httpStatus = httpStatus;
        this.defaultRunState = defaultRunState;
    }

    /**
     * Stable name for clients.
     *
     * @return lower-case text
     */
    public String code() {
        return code;
    }

    /**
     * HTTP status of the response for this error.
     *
     * @return status from 400 to 599
     */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Run state of the error, unless the code that raises it sets another one.
     *
     * @return the state
     */
    public RunState defaultRunState() {
        return defaultRunState;
    }
}
