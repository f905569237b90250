package io.vanillapoint.server.traffic;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.RunState;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.model.Customer;
import io.vanillapoint.api.model.GatewayConfig;
import io.vanillapoint.api.model.KeyDigest;
import io.vanillapoint.api.model.UpstreamKind;
import io.vanillapoint.api.model.Vm;
import io.vanillapoint.api.plugin.RequestPlan;
import io.vanillapoint.api.plugin.RequestProtocol;
import io.vanillapoint.api.plugin.RequestView;
import io.vanillapoint.core.memory.BodyMemoryBudget;
import io.vanillapoint.core.message.Hop;
import io.vanillapoint.core.message.VisitedPath;
import io.vanillapoint.core.routing.RouteGuard;
import io.vanillapoint.server.control.PresentedKey;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/**
 * Handles callers' HTTP requests. The API key and the permitted regions are checked from the
 * headers, before any of the body is read; the grant for a model or service is checked once the
 * body has been read. Confined to one event loop.
 */
final class CallerHandler {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long ENTRIES_LIFETIME_SECONDS = 10;
    private static final String IDEMPOTENCY_KEY_HEADER = "idempotency-key";
    private static final String ATTEMPT_HEADER = "idempotency-attempt";
    private static final int MAX_IDEMPOTENCY_KEY_CHARACTERS = 512;
    private static final long CLOSE_DELAY_MILLIS = 200;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final Set<String> METHODS =
            Set.of("GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE");

    private final Vertx vertx;
    private final TrafficContext context;
    private final String idPrefix;
    private long nextId;

    CallerHandler(Vertx vertx, TrafficContext context, String idPrefix) {
        this.vertx = vertx;
        this.context = context;
        this.idPrefix = idPrefix;
    }

    /** Handles a request whose body has not been read yet. */
    void handle(HttpServerRequest request) {
        request.pause();
        try {
            route(request);
        } catch (VanillapointException e) {
            refuseUnread(request, e, ErrorBody.of(e));
        } catch (Throwable e) {
            VanillapointException error = internalError(request, e);
            refuseUnread(request, error, ErrorBody.of(error));
        }
    }

    /** Refuses a request whose request line or headers could not be parsed. */
    void refuseMalformed(HttpServerRequest request) {
        boolean tooLarge = request.decoderResult().cause() instanceof TooLongHttpHeaderException;
        int limit = context.settings().limits().maxHeaderBytes();
        VanillapointException error =
                tooLarge
                        ? new VanillapointException(
                                ErrorCode.HEADERS_TOO_LARGE,
                                "headers",
                                "expected at most " + limit + " bytes")
                        : new VanillapointException(
                                ErrorCode.BAD_REQUEST, "headers", "expected an HTTP request");
        context.metrics().refused(error.code());
        request.response().putHeader("connection", "close");
        new CallerSink(request).sendError(error, ErrorBody.of(error));
        vertx.setTimer(CLOSE_DELAY_MILLIS, timer -> request.connection().close());
    }

    private void route(HttpServerRequest request) {
        GatewayConfig config = context.control().config();
        String path = request.path() == null ? "" : request.path();
        if (path.equals("/healthz")) {
            request.response().setStatusCode(config.revision() == 0 ? 503 : 200).end();
            return;
        }
        if (config.revision() == 0) {
            throw VanillapointException.refusal(
                    ErrorCode.NOT_READY, "the configuration has not been read yet", RETRY_AFTER);
        }
        if (path.equals("/entries")) {
            sendEntries(request, authenticate(request, config));
            return;
        }
        if (path.equals("/idempotency-keys")) {
            issueKey(request, authenticate(request, config));
            return;
        }
        if (path.equals("/v1/models")) {
            sendModels(request, authenticate(request, config));
            return;
        }
        RequestProtocol protocol =
                context.kernel()
                        .protocol(path)
                        .orElseThrow(
                                () ->
                                        new VanillapointException(
                                                ErrorCode.NOT_FOUND, "path", "no such path"));
        if (!METHODS.contains(request.method().name())) {
            throw new VanillapointException(
                    ErrorCode.BAD_REQUEST, "method", "expected one of " + METHODS);
        }
        Caller caller =
                protocol.isOpen(path, config) ? Caller.ANONYMOUS : authenticate(request, config);
        checkRegion(request, caller, config);
        serve(request, protocol, caller);
    }

    private Caller authenticate(HttpServerRequest request, GatewayConfig config) {
        String key = CallerKey.find(request.headers()).orElseThrow(CallerHandler::unknownKey);
        KeyDigest digest = KeyDigest.of(key);
        Customer customer = config.customerByKey(digest).orElseThrow(CallerHandler::unknownKey);
        return new Caller(key, digest, customer);
    }

    private void checkRegion(HttpServerRequest request, Caller caller, GatewayConfig config) {
        Optional<VanillapointException> refusal =
                RouteGuard.checkProcessing(caller.customer, context.settings().region());
        if (refusal.isEmpty()) {
            return;
        }
        List<Vm> permitted =
                config.vms().values().stream()
                        .filter(vm -> caller.customer.permits(vm.region()))
                        .filter(vm -> vm.state().acceptsRequests())
                        .toList();
        ObjectNode body = ErrorBody.withEntries(ErrorBody.of(refusal.get()), permitted);
        throw new RefusalWithBody(refusal.get(), body);
    }

    private void serve(HttpServerRequest request, RequestProtocol protocol, Caller caller) {
        if (context.control().isDraining()) {
            throw VanillapointException.refusal(
                    ErrorCode.SHUTTING_DOWN, "this VM is shutting down", RETRY_AFTER);
        }
        checkLength(request);
        if ("100-continue".equalsIgnoreCase(request.getHeader("expect"))) {
            request.response().writeContinue();
        }
        String owner = caller.customer == null ? "" : caller.customer.id().value();
        BodyMemoryBudget.Reservation memory = context.bodies().open(owner);
        BodyReader reader = new BodyReader(context.settings().limits().maxBodyBytes(), memory);
        reader.read(request)
                .onSuccess(
                        body ->
                                execute(request, protocol, caller, body)
                                        .onComplete(ended -> memory.release()))
                .onFailure(
                        error -> {
                            memory.release();
                            fail(request, VanillapointErrors.of(error));
                        });
    }

    /** Runs a request; completes when it has ended, with any outcome. */
    private Future<Void> execute(
            HttpServerRequest request, RequestProtocol protocol, Caller caller, Buffer body) {
        CallerSink sink = new CallerSink(request);
        try {
            GatewayConfig config = context.control().config();
            String query = request.query() == null ? "" : request.query();
            byte[] bytes = body.getBytes();
            refuseExposedKey(caller, request.uri(), bytes);
            RequestView call =
                    new RequestView(request.method().name(), request.path(), query, bytes);
            RequestPlan plan = protocol.plan(call, config);
            checkGrant(caller, plan);
            RunRequest runRequest =
                    new RunRequest(
                            idPrefix + nextId++,
                            caller.digest,
                            caller.customer,
                            plan,
                            request.method().name(),
                            HeaderFilter.toUpstream(request.headers(), caller.key),
                            VisitedPath.empty().append(thisHop()),
                            idempotencyKey(request, caller, plan));
            return new RequestExecution(context, runRequest, protocol.meter(plan), sink).start();
        } catch (VanillapointException e) {
            fail(request, e);
        } catch (Throwable e) {
            fail(request, internalError(request, e));
        }
        return Future.succeededFuture();
    }

    /** Logs an unexpected error of this handler, which has sent the request to no upstream. */
    private VanillapointException internalError(HttpServerRequest request, Throwable cause) {
        context.events()
                .record(
                        EventCode.INTERNAL_ERROR,
                        "handling " + request.method() + " " + request.path(),
                        cause);
        return VanillapointErrors.of(cause).withRunState(RunState.NOT_RUN);
    }

    /** Idempotency key of a request that must not be repeated, or null. */
    private static PresentedKey idempotencyKey(
            HttpServerRequest request, Caller caller, RequestPlan plan) {
        String text = request.getHeader(IDEMPOTENCY_KEY_HEADER);
        if (text == null || plan.idempotent() || caller.customer == null) {
            return null;
        }
        if (text.isBlank() || text.length() > MAX_IDEMPOTENCY_KEY_CHARACTERS) {
            throw new VanillapointException(
                    ErrorCode.BAD_REQUEST,
                    IDEMPOTENCY_KEY_HEADER,
                    "expected 1 to " + MAX_IDEMPOTENCY_KEY_CHARACTERS + " characters");
        }
        return new PresentedKey(text, "1".equals(request.getHeader(ATTEMPT_HEADER)));
    }

    private Hop thisHop() {
        return new Hop(context.settings().vm(), context.settings().region());
    }

    private static void refuseExposedKey(Caller caller, String uri, byte[] body) {
        if (caller.key == null) {
            return;
        }
        if (uri.contains(caller.key) || CallerKey.bodyContains(body, caller.key)) {
            throw new VanillapointException(
                    ErrorCode.BAD_REQUEST,
                    "request",
                    "the key stands in the path, query or body; it would reach the upstream");
        }
    }

    private static void checkGrant(Caller caller, RequestPlan plan) {
        if (caller.customer == null) {
            return;
        }
        Set<String> granted =
                plan.kind() == UpstreamKind.MODEL
                        ? caller.customer.models()
                        : caller.customer.services();
        if (!granted.contains(plan.target())) {
            String kind = plan.kind().name().toLowerCase(Locale.ROOT);
            throw new VanillapointException(
                    ErrorCode.NOT_GRANTED,
                    "request",
                    "customer " + caller.customer.id() + " may not call this " + kind);
        }
    }

    private void checkLength(HttpServerRequest request) {
        String length = request.getHeader("content-length");
        int limit = context.settings().limits().maxBodyBytes();
        if (length != null && length.length() < 19 && Long.parseLong(length) > limit) {
            throw BodyReader.tooLarge(limit);
        }
    }

    private void sendEntries(HttpServerRequest request, Caller caller) {
        context.control()
                .entries(caller.customer)
                .onSuccess(
                        vms -> {
                            ObjectNode body = MAPPER.createObjectNode();
                            body.put("customer", caller.customer.id().value());
                            body.put("lifetime_seconds", ENTRIES_LIFETIME_SECONDS);
                            ErrorBody.withEntries(body, vms);
                            sendJson(request, body);
                        })
                .onFailure(error -> fail(request, VanillapointErrors.of(error)));
    }

    private void issueKey(HttpServerRequest request, Caller caller) {
        checkRegion(request, caller, context.control().config());
        context.control()
                .issueKey(caller.customer)
                .onSuccess(
                        key ->
                                sendJson(
                                        request,
                                        MAPPER.createObjectNode().put("idempotency_key", key)))
                .onFailure(error -> fail(request, VanillapointErrors.of(error)));
    }

    private static void sendModels(HttpServerRequest request, Caller caller) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("object", "list");
        ArrayNode data = body.putArray("data");
        for (String model : caller.customer.models()) {
            data.addObject().put("id", model).put("object", "model");
        }
        sendJson(request, body);
    }

    private static void sendJson(HttpServerRequest request, ObjectNode body) {
        request.response().putHeader("content-type", "application/json").end(body.toString());
    }

    private void fail(HttpServerRequest request, VanillapointException error) {
        context.metrics().refused(error.code());
        context.events()
                .record(EventCode.REQUEST_REFUSED, idPrefix + nextId++, error.code().code());
        new CallerSink(request).fail(error);
    }

    /** Refuses a request without reading its body and closes the connection if a body follows. */
    private void refuseUnread(
            HttpServerRequest request, VanillapointException error, ObjectNode body) {
        context.metrics().refused(error.code());
        context.events()
                .record(EventCode.REQUEST_REFUSED, idPrefix + nextId++, error.code().code());
        ObjectNode responseBody = error instanceof RefusalWithBody refusal ? refusal.body : body;
        boolean close =
                request.getHeader("content-length") != null
                        || request.getHeader("transfer-encoding") != null;
        if (close) {
            request.response().putHeader("connection", "close");
        }
        new CallerSink(request).sendError(error, responseBody);
        if (close) {
            vertx.setTimer(CLOSE_DELAY_MILLIS, timer -> request.connection().close());
        }
    }

    private static VanillapointException unknownKey() {
        return new VanillapointException(
                ErrorCode.UNKNOWN_KEY, "key", "expected a key that is granted and not withdrawn");
    }

    /** API key and customer of a request; all fields are null on an open route. Immutable. */
    private record Caller(String key, KeyDigest digest, Customer customer) {
        private static final Caller ANONYMOUS = new Caller(null, null, null);
    }

    /** A refusal with a custom response body. */
    private static final class RefusalWithBody extends VanillapointException {
        private static final long serialVersionUID = 1L;

        private final transient ObjectNode body;

        private RefusalWithBody(VanillapointException error, ObjectNode body) {
            super(error.code(), error.place(), error.getMessage());
            this.body = body;
        }
    }
}
