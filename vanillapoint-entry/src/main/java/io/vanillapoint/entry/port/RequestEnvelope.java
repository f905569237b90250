package io.vanillapoint.entry.port;

import io.vanillapoint.core.message.HeaderField;
import io.vanillapoint.core.prompt.PromptShape;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Head of a caller's request, decoded. Immutable.
 *
 * @param requestId id that the caller gave this attempt
 * @param host name of the host that it is for
 * @param key key of the customer, empty if none was presented
 * @param remainingMillis how long the caller waits, empty if it does not say
 * @param prompt the prompt of a generation
 * @param countedTokens tokens that the caller declares, prompt and answer together
 * @param lastEventId last event that the caller has of a stream that it resumes
 * @param headers headers that go on to the upstream, those that the system sets left out
 */
public record RequestEnvelope(
        String requestId,
        String host,
        Optional<String> key,
        OptionalLong remainingMillis,
        Optional<PromptShape> prompt,
        OptionalLong countedTokens,
        OptionalLong lastEventId,
        List<HeaderField> headers) {
    /** Copies the headers. */
    public RequestEnvelope {
        headers = List.copyOf(headers);
    }
}
