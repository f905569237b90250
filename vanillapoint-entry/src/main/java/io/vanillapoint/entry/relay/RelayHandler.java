package io.vanillapoint.entry.relay;

import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.core.memory.BodyMemoryBudget;
import io.vanillapoint.core.message.HeaderField;
import io.vanillapoint.core.message.RelayRequest;
import io.vanillapoint.core.published.CustomerSpec;
import io.vanillapoint.core.published.GatewayPublication;
import io.vanillapoint.core.published.RouteSpec;
import io.vanillapoint.core.published.ServiceSpec;
import io.vanillapoint.core.published.TrafficLimits;
import io.vanillapoint.entry.traffic.EntryContext;
import io.vanillapoint.entry.traffic.IncomingBody;
import io.vanillapoint.entry.traffic.OpenResponses;
import io.vanillapoint.entry.traffic.Refusal;
import io.vanillapoint.entry.traffic.RequestBodies;
import io.vanillapoint.entry.traffic.RequestPlan;
import io.vanillapoint.entry.traffic.RequestRun;
import io.vanillapoint.wire.FleetCodec;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Runs requests relayed by other VMs at this region's replicas, and never relays them again.
 *
 * <p>The later of two versions of the configuration decides: what the version of the relaying VM
 * permits is refused if this VM's is later and does not. Confined to one event loop.
 */
public final class RelayHandler {
    private static final long RETRY_AFTER_MILLIS = 300;

    /** Room for the fields of a relayed request beside its body; a head has at most 32 KiB. */
    private static final long MAX_HEAD_BYTES = 256L * 1_024;

    /** The relaying VM has a later version, which permits what this one does not know. */
    private static final String NOT_KNOWN_HERE = "not_known_here";

    /** This VM has a later version, by which the request does not go to this service. */
    private static final String CONFIGURATION_SUPERSEDED = "configuration_superseded";

    private final EntryContext context;
    private final Supplier<Optional<GatewayPublication>> publication;
    private final BooleanSupplier ending;
    private final Predicate<RequestPlan> admits;
    private final RequestBodies bodies;
    private final FleetCodec codec = new FleetCodec();
    private final Set<RequestRun> running = new HashSet<>();
    private final OpenResponses openResponses = new OpenResponses();

    /**
     * Creates a handler.
     *
     * @param context services shared by all requests
     * @param publication supplies the configuration in force
     * @param ending true if the process is about to end and refuses new requests
     * @param admits tells whether a request can end before the process does, or another VM can go
     *     on with it
     * @param bodies memory for the bodies of requests
     */
    public RelayHandler(
            EntryContext context,
            Supplier<Optional<GatewayPublication>> publication,
            BooleanSupplier ending,
            Predicate<RequestPlan> admits,
            RequestBodies bodies) {
        this.context = context;
        this.publication = publication;
        this.ending = ending;
        this.admits = admits;
        this.bodies = bodies;
    }

    /**
     * Path of relayed requests on the peer port.
     *
     * @return absolute path
     */
    public static String path() {
        return RelayAttempt.PATH;
    }

    /** Tells whether a refusal is due to different versions of the configuration. */
    static boolean isOtherConfiguration(String reason) {
        return reason.equals(NOT_KNOWN_HERE) || reason.equals(CONFIGURATION_SUPERSEDED);
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
        List.copyOf(running).forEach(RequestRun::abortForShutdown);
    }

    /** Ends attempts whose prompts are withheld by now and that have not begun to respond. */
    public void recheckPrompts() {
        List.copyOf(running).forEach(RequestRun::recheckPrompt);
    }

    /**
     * Handles a relayed request.
     *
     * @param request request whose body has not been read
     */
    public void handle(HttpServerRequest request) {
        RelaySink sink = new RelaySink(request.response(), openResponses);
        try {
            read(request, sink);
        } catch (Throwable e) {
            context.errors().record("handling a relayed request", e);
            sink.acknowledge();
            sink.refuse(Refusal.notRun("internal_error", 0));
        }
    }

    private void read(HttpServerRequest request, RelaySink sink) {
        String sender = request.remoteAddress().hostAddress();
        BodyMemoryBudget.Reservation memory = bodies.open(sender);
        sink.onFinish(memory::release);
        long maxBody =
                publication
                        .get()
                        .map(GatewayPublication::limits)
                        .orElse(TrafficLimits.DEFAULT)
                        .bodyBytes();
        IncomingBody.read(
                context.vertx(),
                request,
                maxBody + MAX_HEAD_BYTES,
                memory,
                new IncomingBody.Listener() {
                    @Override
                    public void complete(Buffer body) {
                        run(request, sink, body, memory);
                    }

                    @Override
                    public void rejected(IncomingBody.Rejection rejection) {
                        if (rejection == IncomingBody.Rejection.NO_MEMORY) {
                            bodies.recordRefusal("", sender, IncomingBody.declaredLength(request));
                            sink.refuse(bodies.refusal());
                        } else {
                            sink.refuse(Refusal.notRun("body_" + rejection, 0));
                            request.connection().close();
                        }
                    }

                    @Override
                    public void failed(Throwable error) {
                        context.errors().record("reading a relayed request", error);
                        sink.refuse(Refusal.notRun("internal_error", 0));
                    }
                });
    }

    private void run(
            HttpServerRequest request,
            RelaySink sink,
            Buffer body,
            BodyMemoryBudget.Reservation memory) {
        try {
            if (RelayAttempt.KEEP_ALIVE.equals(request.query())) {
                sink.acknowledgeWithKeepAlive(context.vertx());
            } else {
                sink.acknowledge();
            }
            if (ending.getAsBoolean()) {
                sink.refuse(Refusal.notRun("shutting_down", RETRY_AFTER_MILLIS));
                return;
            }
            admit(sink, body, memory);
        } catch (VanillapointException e) {
            context.log().record(EventCode.PEER_BAD_FRAME, request.remoteAddress(), e.getMessage());
            sink.refuse(Refusal.notRun("bad_message", 0));
        } catch (Throwable e) {
            context.errors().record("admitting a relayed request", e);
            sink.refuse(Refusal.notRun("internal_error", 0));
        }
    }

    /** Starts a run; until this returns, no attempt has been made. */
    private void admit(RelaySink sink, Buffer body, BodyMemoryBudget.Reservation memory) {
        RelayRequest relayed = codec.decodeRelayRequest(body.getBytes());
        relayed.customer().ifPresent(memory::chargeTo);
        Optional<RequestPlan> plan = plan(relayed);
        if (plan.isEmpty()) {
            long version = publication.get().map(GatewayPublication::version).orElse(0L);
            boolean later = version > relayed.configurationVersion();
            String reason = later ? CONFIGURATION_SUPERSEDED : NOT_KNOWN_HERE;
            context.log()
                    .record(
                            EventCode.RELAY_REFUSED,
                            relayed.requestId(),
                            relayed.route(),
                            reason,
                            relayed.configurationVersion(),
                            version);
            sink.refuse(Refusal.notRun(reason, RETRY_AFTER_MILLIS));
            return;
        }
        if (!admits.test(plan.get())) {
            sink.refuse(Refusal.notRun("shutting_down", RETRY_AFTER_MILLIS));
            return;
        }
        context.log()
                .record(
                        EventCode.RELAY_ACCEPTED,
                        relayed.requestId(),
                        relayed.route(),
                        relayed.remainingMillis());
        RequestRun[] started = new RequestRun[1];
        Runnable releaseBody = sink.takeFinishAction();
        RequestRun run =
                new RequestRun(
                        context,
                        plan.get(),
                        sink,
                        () -> {
                            releaseBody.run();
                            running.remove(started[0]);
                        });
        started[0] = run;
        running.add(run);
        sink.onClose(run::callerDisconnected);
        try {
            run.start();
        } catch (Throwable e) {
            releaseBody.run();
            throw e;
        }
    }

    private Optional<RequestPlan> plan(RelayRequest relayed) {
        Optional<GatewayPublication> current = publication.get();
        Optional<RouteSpec> route =
                current.flatMap(configuration -> configuration.route(relayed.route()));
        Optional<ServiceSpec> service =
                current.flatMap(configuration -> configuration.service(relayed.service()));
        Optional<CustomerSpec> customer =
                relayed.customer()
                        .flatMap(
                                name ->
                                        current.flatMap(
                                                configuration -> configuration.customer(name)));
        if (route.isEmpty()
                || service.isEmpty()
                || customer.isEmpty() == relayed.customer().isPresent()
                || isSuperseded(relayed, route.get(), current.get().version())) {
            return Optional.empty();
        }
        MultiMap headers = MultiMap.caseInsensitiveMultiMap();
        for (HeaderField header : relayed.headers()) {
            headers.add(header.name(), header.value());
        }
        long now = context.clock().getAsLong();
        RequestPlan plan =
                new RequestPlan(
                        context.format().request(headers),
                        relayed.method(),
                        relayed.uri(),
                        Buffer.buffer(relayed.body()),
                        route.get(),
                        service.get(),
                        customer,
                        now,
                        now + relayed.remainingMillis() - context.gate().receiveDelayMillis(),
                        true);
        boolean allowed = plan.allowedIn(context.fleet().self().region());
        return allowed ? Optional.of(plan) : Optional.empty();
    }

    /** Tells whether this VM's later version sends the route's requests to other services. */
    private static boolean isSuperseded(RelayRequest relayed, RouteSpec route, long version) {
        boolean versionKnown = relayed.configurationVersion() > 0;
        return versionKnown
                && version > relayed.configurationVersion()
                && route.services().stream()
                        .filter(share -> share.weight() > 0)
                        .noneMatch(share -> share.service().equals(relayed.service()));
    }
}
