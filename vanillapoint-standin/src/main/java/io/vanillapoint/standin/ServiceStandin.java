package io.vanillapoint.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.Map;
import java.util.TreeMap;
import org.kohsuke.args4j.Option;

/**
 * Stand-in for a plain service: counts the executions of each body, so that a test can detect a
 * request that ran twice. Confined to one event loop.
 */
final class ServiceStandin {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Vertx vertx;
    private final Options options;
    private final Map<String, Integer> runs = new TreeMap<>();

    private ServiceStandin(Vertx vertx, Options options) {
        this.vertx = vertx;
        this.options = options;
    }

    static void main(String[] args) {
        Options options = Flags.read(new Options(), args);
        Vertx vertx = Vertx.vertx();
        ServiceStandin service = new ServiceStandin(vertx, options);
        vertx.createHttpServer()
                .requestHandler(service::handle)
                .listen(options.port, options.host)
                .onFailure(error -> System.exit(1));
    }

    private void handle(HttpServerRequest request) {
        if (request.path().equals("/runs")) {
            ObjectNode body = MAPPER.createObjectNode();
            runs.forEach(body::put);
            request.response().end(body.toString());
            return;
        }
        request.body().onSuccess(body -> run(request, body));
    }

    private void run(HttpServerRequest request, Buffer body) {
        int count = runs.merge(body.toString(), 1, Integer::sum);
        ObjectNode answer = MAPPER.createObjectNode();
        answer.put("service", options.name);
        answer.put("method", request.method().name());
        answer.put("path", request.path());
        answer.put("run", count);
        vertx.setTimer(
                Math.max(1, options.answerMs),
                timer ->
                        request.response()
                                .putHeader("content-type", "application/json")
                                .end(answer.toString()));
    }

    /** Flags. */
    private static final class Options {
        @Option(name = "--host", usage = "address to listen on")
        private String host = "127.0.0.1";

        @Option(name = "--port", required = true, usage = "port to listen on")
        private int port;

        @Option(name = "--name", usage = "name shown in answers")
        private String name = "service";

        @Option(name = "--answer-ms", usage = "milliseconds until the answer")
        private long answerMs = 5;
    }
}
