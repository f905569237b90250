package io.vanillapoint.http;

/** Learns what connections are refused or closed, and words the refusals. One event loop. */
public interface InboundListener {
    /**
     * Body of a response that refuses a request.
     *
     * @param refusal the reason
     * @return JSON text
     */
    String body(RequestRefusal refusal);

    /**
     * When a client whose request was refused for now is to come back.
     *
     * @return value of {@code Retry-After}
     */
    String retryAfter();

    /**
     * A request has been refused.
     *
     * @param port name of the port
     * @param refusal the reason
     */
    void refused(String port, RequestRefusal refusal);

    /**
     * A connection has been closed without a response.
     *
     * @param port name of the port
     * @param reason short name of the reason
     */
    void closed(String port, String reason);
}
