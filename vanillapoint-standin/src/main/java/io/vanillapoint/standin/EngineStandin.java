package io.vanillapoint.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.io.IOException;
import org.kohsuke.args4j.Option;

/**
 * Stand-in for a model engine: answers chat completions with a fixed number of words at a fixed
 * rate, and more slowly while more requests run than its capacity. Confined to one event loop.
 */
final class EngineStandin {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int CHARACTERS_PER_TOKEN = 4;

    private final Vertx vertx;
    private final Options options;
    private int running;
    private long served;

    private EngineStandin(Vertx vertx, Options options) {
        this.vertx = vertx;
        this.options = options;
    }

    static void main(String[] args) {
        Options options = Flags.read(new Options(), args);
        Vertx vertx = Vertx.vertx();
        EngineStandin engine = new EngineStandin(vertx, options);
        vertx.createHttpServer()
                .requestHandler(engine::handle)
                .listen(options.port, options.host)
                .onFailure(error -> System.exit(1));
    }

    private void handle(HttpServerRequest request) {
        switch (request.path()) {
            case "/load" -> load(request);
            case "/v1/chat/completions" -> request.body().onSuccess(body -> chat(request, body));
            default -> request.response().setStatusCode(404).end();
        }
    }

    private void load(HttpServerRequest request) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("running", running);
        body.put("served", served);
        request.response().end(body.toString());
    }

    private void chat(HttpServerRequest request, Buffer body) {
        try {
            JsonNode call = MAPPER.readTree(body.getBytes());
            int tokens = Math.min(call.path("max_tokens").asInt(16), options.outputTokens);
            long prompt = call.path("messages").toString().length() / CHARACTERS_PER_TOKEN;
            boolean stream = call.path("stream").asBoolean(false);
            running++;
            served++;
            Completion completion = new Completion(request.response(), tokens, prompt, stream);
            request.response().closeHandler(ignored -> completion.stop());
            vertx.setTimer(options.firstTokenMs, timer -> completion.sendNextToken());
        } catch (IOException e) {
            request.response().setStatusCode(400).end();
        }
    }

    /** An answer that is being generated. */
    private final class Completion {
        private final HttpServerResponse response;
        private final int tokens;
        private final long promptTokens;
        private final boolean stream;
        private final StringBuilder text = new StringBuilder();
        private int generatedTokens;
        private boolean stopped;

        private Completion(
                HttpServerResponse response, int tokens, long promptTokens, boolean stream) {
            this.response = response;
            this.tokens = tokens;
            this.promptTokens = promptTokens;
            this.stream = stream;
        }

        private void stop() {
            if (!stopped) {
                stopped = true;
                running--;
            }
        }

        private void sendNextToken() {
            if (stopped) {
                return;
            }
            if (generatedTokens == 0 && stream) {
                response.putHeader("content-type", "text/event-stream").setChunked(true);
            }
            if (generatedTokens == tokens) {
                finish();
                return;
            }
            generatedTokens++;
            String word = "wörd" + generatedTokens + " ";
            if (stream) {
                response.write("data: " + chunk(word) + "\n\n");
            } else {
                text.append(word);
            }
            long slowdown = Math.max(1, running / Math.max(1, options.capacity));
            vertx.setTimer(options.tokenMs * slowdown, timer -> sendNextToken());
        }

        private void finish() {
            ObjectNode last = MAPPER.createObjectNode();
            last.put("object", stream ? "chat.completion.chunk" : "chat.completion");
            last.put("engine", options.name);
            ObjectNode choice = last.putArray("choices").addObject();
            if (!stream) {
                choice.putObject("message")
                        .put("role", "assistant")
                        .put("content", text.toString());
            }
            choice.put("finish_reason", "stop");
            last.putObject("usage").put("total_tokens", promptTokens + generatedTokens);
            if (stream) {
                response.end("data: " + last + "\n\ndata: [DONE]\n\n");
            } else {
                response.putHeader("content-type", "application/json").end(last.toString());
            }
            stop();
        }

        private String chunk(String word) {
            ObjectNode chunk = MAPPER.createObjectNode();
            chunk.put("object", "chat.completion.chunk");
            ObjectNode choice = chunk.putArray("choices").addObject();
            choice.putObject("delta").put("content", word);
            return chunk.toString();
        }
    }

    /** Flags. */
    private static final class Options {
        @Option(name = "--host", usage = "address to listen on")
        private String host = "127.0.0.1";

        @Option(name = "--port", required = true, usage = "port to listen on")
        private int port;

        @Option(name = "--name", usage = "name shown in answers")
        private String name = "engine";

        @Option(name = "--capacity", usage = "concurrent requests at full speed")
        private int capacity = 8;

        @Option(name = "--output-tokens", usage = "maximum length of an answer in tokens")
        private int outputTokens = 16;

        @Option(name = "--first-token-ms", usage = "time to the first token")
        private long firstTokenMs = 40;

        @Option(name = "--token-ms", usage = "time between tokens")
        private long tokenMs = 5;
    }
}
