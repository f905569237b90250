package io.vanillapoint.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.http.BoundedBody;
import io.vanillapoint.http.StrictHttpClient;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.kohsuke.args4j.Option;

/** A command that sends HTTP requests to VMs. */
abstract class RemoteCommand extends Command {
    private static final long RESPONSE_TIMEOUT_SECONDS = 5;

    /** Largest answer, in bytes. */
    private static final long MAX_RESPONSE_BYTES = 64L * 1_024 * 1_024;

    private static final String KEY_VARIABLE = "VANILLAPOINT_KEY";

    @Option(
            name = "--key",
            metaVar = "KEY",
            usage = "key to send; preferably set VANILLAPOINT_KEY instead")
    private String key;

    /**
     * Sends a request to a VM and returns the JSON response, or a missing node if the body is
     * empty.
     */
    final JsonNode send(HttpMethod method, String address, String path) {
        Endpoint endpoint = endpoint(address);
        Vertx vertx = Vertx.vertx();
        try {
            HttpClient client = StrictHttpClient.create(vertx);
            RequestOptions options =
                    new RequestOptions()
                            .setMethod(method)
                            .setHost(endpoint.host())
                            .setPort(endpoint.port())
                            .setURI(path)
                            .putHeader("authorization", "Bearer " + resolvedKey());
            Future<Buffer> body =
                    client.request(options)
                            .compose(request -> request.send())
                            .compose(response -> body(address, response));
            Buffer answer =
                    body.toCompletionStage()
                            .toCompletableFuture()
                            .get(RESPONSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            return MAPPER.readTree(answer.getBytes());
        } catch (ExecutionException | TimeoutException | IOException e) {
            throw failure(address, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw failure(address, e);
        } finally {
            vertx.close();
        }
    }

    private static Future<Buffer> body(String address, HttpClientResponse response) {
        Future<Buffer> body = BoundedBody.read(response, MAX_RESPONSE_BYTES);
        return response.statusCode() < 300 ? body : body.compose(text -> refused(address, text));
    }

    private static Future<Buffer> refused(String address, Buffer text) {
        return Future.failedFuture(
                new VanillapointException(ErrorCode.BAD_REQUEST, address, "refused: " + text));
    }

    private static Endpoint endpoint(String address) {
        try {
            return Endpoint.parse(address);
        } catch (IllegalArgumentException e) {
            throw new VanillapointException(ErrorCode.INVALID_SETTINGS, address, e.getMessage());
        }
    }

    private String resolvedKey() {
        String fromEnvironment = System.getenv(KEY_VARIABLE);
        if (key != null) {
            return key;
        }
        return fromEnvironment == null ? "" : fromEnvironment;
    }

    private static VanillapointException failure(String address, Exception error) {
        Throwable cause = error.getCause() == null ? error : error.getCause();
        String message = cause.getMessage() == null ? cause.toString() : cause.getMessage();
        return new VanillapointException(ErrorCode.UPSTREAM_UNREACHABLE, address, message);
    }
}
