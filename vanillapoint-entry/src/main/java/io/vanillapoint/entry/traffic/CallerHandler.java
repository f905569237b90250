package io.vanillapoint.entry.traffic;

import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.core.fleet.FleetView;
import io.vanillapoint.core.grant.GrantMeter;
import io.vanillapoint.core.grant.GrantVerdict;
import io.vanillapoint.core.memory.BodyMemoryBudget;
import io.vanillapoint.core.prompt.PromptSummary;
import io.vanillapoint.core.published.CustomerSpec;
import io.vanillapoint.core.published.GatewayPublication;
import io.vanillapoint.core.published.RouteSpec;
import io.vanillapoint.core.published.ServiceSpec;
import io.vanillapoint.core.published.StorePosition;
import io.vanillapoint.core.published.TrafficLimits;
import io.vanillapoint.entry.port.RequestEnvelope;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Handles callers' requests: reads the complete request, finds its route and customer, takes the
 * customer's tokens and starts a {@link RequestRun}.
 *
 * <p>Invariant: a request that is refused here has not run and never will. Confined to one event
 * loop.
 */
public final class CallerHandler {
    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int TOO_LARGE = 413;

    /** Owner of the bodies of requests without a known key. */
    private static final String UNKNOWN_OWNER = "unknown key";

    /** A starting VM usually has a configuration within this time. */
    private static final long STARTUP_RETRY_AFTER_MILLIS = 500;

    /** Jitter that spreads the retries of callers that exceed their rate limit. */
    private static final long RETRY_JITTER_MILLIS = 300;

    private static final long MAX_RETRY_AFTER_MILLIS = 10_000;

    private final EntryContext context;
    private final Supplier<Optional<GatewayPublication>> publication;
    private final GrantMeter grants;
    private final BooleanSupplier closing;
    private final Predicate<RequestPlan> admits;
    private final RouteDurations durations;
    private final RequestBodies bodies;
    private final HeldDenials denials;
    private final Set<RequestRun> running = new HashSet<>();
    private final OpenResponses openResponses = new OpenResponses();
    private final Set<HttpConnection> closingConnections = new HashSet<>();

    /**
     * Creates a handler.
     *
     * @param context services shared by all requests
     * @param publication supplies the configuration in force
     * @param position supplies the position of the store that this VM has reached
     * @param grants meters customers' tokens
     * @param closing true if connections are to be closed after the response
     * @param admits tells whether a request can end before the VM stops, or is better admitted all
     *     the same
     * @param durations records how long requests take
     * @param bodies memory for the bodies of requests
     */
    public CallerHandler(
            EntryContext context,
            Supplier<Optional<GatewayPublication>> publication,
            Supplier<StorePosition> position,
            GrantMeter grants,
            BooleanSupplier closing,
            Predicate<RequestPlan> admits,
            RouteDurations durations,
            RequestBodies bodies) {
        this.context = context;
        this.publication = publication;
        this.grants = grants;
        this.closing = closing;
        this.admits = admits;
        this.durations = durations;
        this.bodies = bodies;
        denials = new HeldDenials(context, position);
    }

    /**
     * Number of requests that are running, or whose body or response is still being transferred.
     *
     * @return number of requests
     */
    public int running() {
        return Math.max(running.size(), openResponses.count());
    }

    /** Ends all running requests, because the process is about to stop. */
    public void abortAll() {
        denials.refuseAll();
        List.copyOf(running).forEach(RequestRun::abortForShutdown);
    }

    /** Judges requests again that the configuration before did not permit. */
    public void configurationChanged() {
        denials.configurationChanged();
    }

    /**
     * Tells whether requests wait for a newer configuration.
     *
     * @return true if some do
     */
    public boolean awaitsConfiguration() {
        return denials.any();
    }

    /** Ends attempts whose prompts are withheld by now and that have not begun to respond. */
    public void recheckPrompts() {
        List.copyOf(running).forEach(RequestRun::recheckPrompt);
    }

    /**
     * Handles a request.
     *
     * @param request request whose headers have arrived and whose body has not been read
     */
    public void handle(HttpServerRequest request) {
        if (closingConnections.contains(request.connection())) {
            request.connection().close();
            return;
        }
        long receivedAt = context.clock().getAsLong();
        boolean closeAfter = request.headers().contains(HttpHeaders.TRANSFER_ENCODING);
        if (closeAfter) {
            closeAfterResponse(request);
        }
        CallerSink sink =
                new CallerSink(
                        request,
                        openResponses,
                        () -> closeAfter || closing.getAsBoolean(),
                        context.memory());
        long limit =
                publication
                        .get()
                        .map(GatewayPublication::limits)
                        .orElse(TrafficLimits.DEFAULT)
                        .bodyBytes();
        Optional<RequestEnvelope> parsed = parse(request);
        BodyMemoryBudget.Reservation memory = bodies.open(owner(parsed));
        sink.onFinish(memory::release);
        IncomingBody.read(
                context.vertx(),
                request,
                limit,
                memory,
                new IncomingBody.Listener() {
                    @Override
                    public void complete(Buffer body) {
                        admitSafely(request, parsed, body, sink, receivedAt);
                    }

                    @Override
                    public void rejected(IncomingBody.Rejection rejection) {
                        rejectBody(request, parsed, sink, rejection);
                    }

                    @Override
                    public void failed(Throwable error) {
                        context.errors().record("reading the body of a request", error);
                        sink.refuse(Refusal.notRun("internal_error", 0));
                    }
                });
    }

    /** Parses the headers; empty if that fails, which is dealt with once the body is read. */
    private Optional<RequestEnvelope> parse(HttpServerRequest request) {
        try {
            return Optional.of(context.format().request(request.headers()));
        } catch (Throwable e) {
            return Optional.empty();
        }
    }

    /**
     * Who the memory for a body is charged to: the customer of the key, since a key is checked
     * without the body. All requests with unknown keys share one owner, so that changing keys gains
     * nothing.
     */
    private String owner(Optional<RequestEnvelope> envelope) {
        return envelope.flatMap(RequestEnvelope::key)
                .flatMap(key -> publication.get().flatMap(now -> now.customerOfKey(key)))
                .map(CustomerSpec::name)
                .orElse(UNKNOWN_OWNER);
    }

    private void rejectBody(
            HttpServerRequest request,
            Optional<RequestEnvelope> envelope,
            CallerSink sink,
            IncomingBody.Rejection rejection) {
        switch (rejection) {
            case TOO_LARGE -> {
                deny(sink, "", Refusal.denied(TOO_LARGE, "body_too_large"));
                if (IncomingBody.declaredLength(request) > 0) {
                    request.connection().close();
                }
            }
            case TOO_SLOW -> {
                deny(sink, "", Refusal.denied(REQUEST_TIMEOUT, "body_too_slow"));
                request.connection().close();
            }
            case NO_MEMORY -> {
                bodies.recordRefusal(
                        envelope.map(RequestEnvelope::requestId).orElse(""),
                        owner(envelope),
                        IncomingBody.declaredLength(request));
                sink.refuse(bodies.refusal());
            }
            default -> throw new IllegalArgumentException(rejection.name());
        }
    }

    /**
     * Closes the connection after the response. A chunked request may also carry a Content-Length,
     * which the HTTP library silently drops; a proxy that goes by the length would frame the next
     * request differently (request smuggling), so none is read from this connection.
     */
    private void closeAfterResponse(HttpServerRequest request) {
        HttpConnection connection = request.connection();
        closingConnections.add(connection);
        connection.closeHandler(ignored -> closingConnections.remove(connection));
        request.response().endHandler(ignored -> connection.close());
    }

    /** Refuses a request that meets an unexpected error; no attempt has been made by then. */
    private void admitSafely(
            HttpServerRequest request,
            Optional<RequestEnvelope> parsed,
            Buffer body,
            CallerSink sink,
            long receivedAt) {
        try {
            admit(request, parsed, body, sink, receivedAt);
        } catch (Throwable e) {
            context.errors().record("admitting " + request.method() + " " + request.path(), e);
            sink.refuse(Refusal.notRun("internal_error", 0));
        }
    }

    private void admit(
            HttpServerRequest request,
            Optional<RequestEnvelope> parsed,
            Buffer body,
            CallerSink sink,
            long receivedAt) {
        RequestEnvelope envelope;
        try {
            envelope = parsed.orElseGet(() -> context.format().request(request.headers()));
        } catch (VanillapointException e) {
            deny(sink, "", Refusal.denied(BAD_REQUEST, e.code().code()));
            return;
        }
        if (publication.get().isEmpty()) {
            refuse(
                    sink,
                    envelope,
                    Refusal.notRun("not_ready", STARTUP_RETRY_AFTER_MILLIS),
                    receivedAt);
            return;
        }
        Supplier<Optional<Refusal>> judge =
                () -> admitIfPermitted(request, envelope, body, sink, receivedAt);
        Optional<Refusal> denial = judge.get();
        if (denial.isEmpty()) {
            return;
        }
        Consumer<Refusal> deny = refusal -> deny(sink, envelope.requestId(), refusal);
        long remainingMillis = envelope.remainingMillis().orElse(Long.MAX_VALUE);
        if (!denials.hold(envelope.requestId(), denial.get(), remainingMillis, sink, judge, deny)) {
            deny.accept(denial.get());
        }
    }

    /** Admits or refuses a request that the configuration permits, else returns its denial. */
    private Optional<Refusal> admitIfPermitted(
            HttpServerRequest request,
            RequestEnvelope envelope,
            Buffer body,
            CallerSink sink,
            long receivedAt) {
        GatewayPublication current = publication.get().orElseThrow();
        Optional<RouteSpec> route = current.route(envelope.host(), request.path());
        if (route.isEmpty()) {
            return Optional.of(Refusal.denied(NOT_FOUND, "no_route"));
        }
        Optional<CustomerSpec> customer = envelope.key().flatMap(current::customerOfKey);
        boolean keyRequired = current.hasCustomers() && !route.get().keyless();
        if (keyRequired && customer.isEmpty()) {
            return Optional.of(Refusal.denied(UNAUTHORIZED, "unknown_key"));
        }
        Optional<ServiceSpec> service =
                current.service(route.get().service(ThreadLocalRandom.current().nextDouble()));
        if (service.isEmpty()) {
            refuse(sink, envelope, Refusal.notRun("no_service", 0), receivedAt);
            return Optional.empty();
        }
        long now = context.clock().getAsLong();
        long timeoutMillis =
                Math.min(
                        envelope.remainingMillis().orElse(Long.MAX_VALUE),
                        route.get().timeoutMillis());
        RequestPlan plan =
                new RequestPlan(
                        envelope,
                        request.method().name(),
                        request.uri(),
                        body,
                        route.get(),
                        service.get(),
                        keyRequired ? customer : Optional.empty(),
                        receivedAt,
                        receivedAt + timeoutMillis - context.gate().receiveDelayMillis(),
                        false);
        Optional<Refusal> unfit = unfit(plan);
        if (unfit.isPresent()) {
            refuse(sink, envelope, unfit.get(), receivedAt);
        } else if (takeTokens(plan, sink, now)) {
            run(plan, sink);
        }
        return Optional.empty();
    }

    private Optional<Refusal> unfit(RequestPlan plan) {
        if (!admits.test(plan)) {
            return Optional.of(Refusal.notRun("shutting_down", STARTUP_RETRY_AFTER_MILLIS));
        }
        return fitsEngines(plan)
                ? context.prompts().check(plan, "admit")
                : Optional.of(Refusal.notRun("larger_than_engines", 0));
    }

    /** Tells whether an engine's memory can hold the prompt; if none can, no replica runs it. */
    private static boolean fitsEngines(RequestPlan plan) {
        long promptTokens = plan.envelope().prompt().map(PromptSummary::promptTokens).orElse(0L);
        return plan.service()
                .engine()
                .filter(engine -> engine.cacheTokens() > 0)
                .map(engine -> promptTokens <= engine.cacheTokens())
                .orElse(true);
    }

    private boolean takeTokens(RequestPlan plan, CallerSink sink, long now) {
        if (plan.customer().isEmpty()) {
            return true;
        }
        CustomerSpec customer = plan.customer().get();
        long tokens = tokensOf(plan);
        FleetView fleet = context.fleet();
        double share = fleet.heardFraction(now);
        GrantVerdict verdict = grants.tryAcquire(customer, tokens, share, now);
        String id = plan.envelope().requestId();
        if (verdict.admitted()) {
            context.log()
                    .record(
                            EventCode.ADMITTED,
                            id,
                            plan.route().name(),
                            customer.name(),
                            tokens,
                            verdict.level(),
                            share);
            return true;
        }
        long jitter = ThreadLocalRandom.current().nextLong(RETRY_JITTER_MILLIS);
        long retryAfter = Math.min(MAX_RETRY_AFTER_MILLIS, verdict.retryAfterMillis() + jitter);
        context.log()
                .record(
                        EventCode.TOKENS_REFUSED,
                        id,
                        customer.name(),
                        tokens,
                        verdict.level(),
                        share,
                        retryAfter);
        context.metrics().count("tokens_refused");
        sink.refuse(Refusal.rateExceeded(retryAfter));
        return false;
    }

    private void run(RequestPlan plan, CallerSink sink) {
        RequestRun[] created = new RequestRun[1];
        Runnable releaseBody = sink.takeFinishAction();
        RequestRun run =
                new RequestRun(
                        context,
                        plan,
                        sink,
                        () -> {
                            releaseBody.run();
                            onEnded(plan, created[0], sink);
                        });
        created[0] = run;
        running.add(run);
        sink.onClose(run::callerDisconnected);
        try {
            run.start();
        } catch (Throwable e) {
            releaseBody.run();
            throw e;
        }
    }

    private void onEnded(RequestPlan plan, RequestRun run, CallerSink sink) {
        running.remove(run);
        if (sink.answered()) {
            long millis = context.clock().getAsLong() - plan.receivedAtMillis();
            durations.record(plan.route().name(), millis);
        }
        if (run.notSent() && plan.customer().isPresent()) {
            grants.refund(plan.customer().get(), tokensOf(plan));
        }
    }

    private void deny(CallerSink sink, String requestId, Refusal refusal) {
        long version = publication.get().map(GatewayPublication::version).orElse(0L);
        context.log()
                .record(EventCode.DENIED, requestId, refusal.status(), refusal.reason(), version);
        context.metrics().count("denied." + refusal.reason());
        sink.refuse(refusal);
    }

    private void refuse(
            CallerSink sink, RequestEnvelope envelope, Refusal refusal, long receivedAt) {
        context.log()
                .record(
                        EventCode.REFUSED,
                        envelope.requestId(),
                        refusal.status(),
                        refusal.reason(),
                        refusal.retryAfterMillis(),
                        context.clock().getAsLong() - receivedAt);
        context.metrics().count("refused." + refusal.reason());
        sink.refuse(refusal);
    }

    private static long tokensOf(RequestPlan plan) {
        long defaultTokens = plan.customer().map(CustomerSpec::plainTokens).orElse(0L);
        return plan.envelope().totalTokens().orElse(defaultTokens);
    }
}
