package io.vanillapoint.entry.port;

import io.vanillapoint.core.message.HeaderField;
import io.vertx.core.MultiMap;
import java.util.List;
import java.util.OptionalLong;

/** Headers of a platform's requests and answers. Implementations are stateless. */
public interface RequestFormat {
    /**
     * Reads the head of a caller's request.
     *
     * @param headers headers as received
     * @return the head
     * @throws io.vanillapoint.api.error.VanillapointException with {@code BAD_REQUEST} if a header
     *     that the system needs is missing or malformed
     */
    RequestEnvelope request(MultiMap headers);

    /**
     * Writes the headers of a call to an upstream.
     *
     * @param call what to send
     * @param headers where to write
     */
    void writeCall(UpstreamCall call, MultiMap headers);

    /**
     * Writes the headers with which a VM of another region reads the same request.
     *
     * @param request head of the request
     * @param lastEventId event after which a stream goes on
     * @return headers, the caller's key left out
     */
    List<HeaderField> relayHeaders(RequestEnvelope request, OptionalLong lastEventId);

    /**
     * Reads the head of an upstream's answer.
     *
     * @param status HTTP status
     * @param headers headers as received
     * @return the head
     */
    AnswerEnvelope answer(int status, MultiMap headers);
}
