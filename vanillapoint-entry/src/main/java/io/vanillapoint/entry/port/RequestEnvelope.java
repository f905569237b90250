package io.vanillapoint.entry.port;

import io.vanillapoint.core.message.HeaderField;
import io.vanillapoint.core.prompt.PromptSummary;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decoded head of a caller's request. Immutable.
 *
 * @param requestId id that the caller assigned to this attempt
 * @param host host name that the request is addressed to
 * @param key API key of the customer, empty if absent
 * @param remainingMillis time for which the caller still waits, in milliseconds, empty if absent
 * @param prompt summary of the prompt, empty if the request has none
 * @param totalTokens tokens of prompt and answer together as declared by the caller
 * @param lastEventId id of the last event received, if the caller resumes a stream
 * @param headers headers to forward to the upstream, without those that the gateway sets
 */
public record RequestEnvelope(
        String requestId,
        String host,
        Optional<String> key,
        OptionalLong remainingMillis,
        Optional<PromptSummary> prompt,
        OptionalLong totalTokens,
        OptionalLong lastEventId,
        List<HeaderField> headers) {
    /** Copies the headers. */
    public RequestEnvelope {
        headers = List.copyOf(headers);
    }
}
