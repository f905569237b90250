package io.vanillapoint.server.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.model.GatewayConfig;
import io.vanillapoint.api.model.ModelDeclaration;
import io.vanillapoint.api.model.UpstreamKind;
import io.vanillapoint.api.plugin.RequestPlan;
import io.vanillapoint.api.plugin.RequestProtocol;
import io.vanillapoint.api.plugin.RequestView;
import io.vanillapoint.api.plugin.UsageMeter;
import java.io.IOException;

/**
 * The chat-completions protocol, with responses as JSON or server-sent events. Reserves the
 * estimated prompt tokens plus the output token limit, and sends that limit to the upstream.
 * Stateless and thread-safe.
 */
public final class ChatProtocol implements RequestProtocol {
    private static final String PATH = "/v1/chat/completions";
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int AFFINITY_KEY_CHARACTERS = 1_024;
    private static final int MAX_INTERACTIVE_TOKENS = 1_000;
    private static final String[] OUTPUT_LIMIT_FIELDS = {"max_completion_tokens", "max_tokens"};
    private static final ObjectMapper MAPPER = JsonLimits.mapper();

    @Override
    public boolean matches(String path) {
        return path.equals(PATH);
    }

    @Override
    public boolean isOpen(String path, GatewayConfig config) {
        return false;
    }

    @Override
    public RequestPlan plan(RequestView call, GatewayConfig config) {
        if (!call.method().equals("POST")) {
            throw badRequest("method", "expected POST, got " + call.method());
        }
        ObjectNode body = parse(call.body());
        String name = body.path("model").asText("");
        ModelDeclaration model =
                config.model(name)
                        .orElseThrow(
                                () ->
                                        new VanillapointException(
                                                ErrorCode.NOT_FOUND,
                                                "/model",
                                                "expected a declared model, got '" + name + "'"));
        String prompt = promptText(body);
        int outputLimit = outputTokenLimit(body, model);
        if (body.path("n").asInt(1) != 1) {
            throw badRequest("/n", "expected 1 answer a request");
        }
        body.put("max_tokens", outputLimit);
        body.remove("max_completion_tokens");
        long tokens = estimateTokens(prompt) + outputLimit;
        return new RequestPlan(
                UpstreamKind.MODEL,
                name,
                PATH,
                write(body),
                false,
                true,
                tokens,
                prompt.substring(0, Math.min(prompt.length(), AFFINITY_KEY_CHARACTERS)),
                tokens <= MAX_INTERACTIVE_TOKENS);
    }

    @Override
    public UsageMeter meter(RequestPlan plan) {
        return new ChatUsageMeter();
    }

    /** Estimates the number of tokens of a text from its length. */
    static long estimateTokens(String text) {
        return (text.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
    }

    private static ObjectNode parse(byte[] body) {
        try {
            JsonNode node = MAPPER.readTree(body);
            if (node instanceof ObjectNode object) {
                return object;
            }
            throw badRequest("body", "expected a JSON object");
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            int column = e.getLocation() == null ? 0 : e.getLocation().getColumnNr();
            throw badRequest("body:" + line + ":" + column, "expected JSON");
        } catch (IOException e) {
            throw badRequest("body", "expected JSON");
        }
    }

    private static String promptText(ObjectNode body) {
        JsonNode messages = body.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            throw badRequest("/messages", "expected at least one message");
        }
        StringBuilder prompt = new StringBuilder();
        for (JsonNode message : messages) {
            JsonNode content = message.path("content");
            prompt.append(content.isTextual() ? content.asText() : content.toString()).append('\n');
        }
        return prompt.toString();
    }

    private static int outputTokenLimit(ObjectNode body, ModelDeclaration model) {
        for (String field : OUTPUT_LIMIT_FIELDS) {
            JsonNode outputLimit = body.get(field);
            if (outputLimit == null || outputLimit.isNull()) {
                continue;
            }
            if (!outputLimit.isInt()
                    || outputLimit.asInt() < 1
                    || outputLimit.asInt() > model.maxOutputTokens()) {
                String expected = "expected a whole number from 1 to " + model.maxOutputTokens();
                throw badRequest("/" + field, expected);
            }
            return outputLimit.asInt();
        }
        return model.maxOutputTokens();
    }

    private static byte[] write(ObjectNode body) {
        try {
            return MAPPER.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree that was read can be written", e);
        }
    }

    private static VanillapointException badRequest(String place, String message) {
        return new VanillapointException(ErrorCode.BAD_REQUEST, place, message);
    }
}
