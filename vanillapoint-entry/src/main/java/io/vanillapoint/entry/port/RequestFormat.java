package io.vanillapoint.entry.port;

import io.vanillapoint.core.message.HeaderField;
import io.vertx.core.MultiMap;
import java.util.List;
import java.util.OptionalLong;

/** Headers of a platform's requests and responses. Implementations are stateless. */
public interface RequestFormat {
    /**
     * Parses the head of a caller's request.
     *
     * @param headers headers as received
     * @return the head
     * @throws io.vanillapoint.api.error.VanillapointException with {@code BAD_REQUEST} if a
     *     required header is missing or malformed
     */
    RequestEnvelope request(MultiMap headers);

    /**
     * Writes the headers of a call to an upstream.
     *
     * @param call values of the headers
     * @param headers map to add the headers to
     */
    void writeCall(UpstreamCall call, MultiMap headers);

    /**
     * Encodes the headers from which a VM of another region parses the same request.
     *
     * @param request head of the request
     * @param lastEventId id of the event after which the stream resumes
     * @return headers without the customer's key
     */
    List<HeaderField> relayHeaders(RequestEnvelope request, OptionalLong lastEventId);

    /**
     * Parses the head of an upstream's response.
     *
     * @param status HTTP status
     * @param headers headers as received
     * @return the head
     */
    ResponseEnvelope response(int status, MultiMap headers);
}
