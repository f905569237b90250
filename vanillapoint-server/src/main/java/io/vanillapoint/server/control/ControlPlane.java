package io.vanillapoint.server.control;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventSink;
import io.vanillapoint.api.model.Customer;
import io.vanillapoint.api.model.GatewayConfig;
import io.vanillapoint.api.model.KeyDigest;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.UpstreamId;
import io.vanillapoint.api.model.Vm;
import io.vanillapoint.api.model.VmId;
import io.vanillapoint.api.plugin.UpstreamPolicy;
import io.vanillapoint.core.admission.AdmissionQueue;
import io.vanillapoint.core.config.ConfigStore;
import io.vanillapoint.core.config.ValueParser;
import io.vanillapoint.core.invariant.Invariants;
import io.vanillapoint.core.limit.AuthoritySettings;
import io.vanillapoint.core.limit.RegionAuthority;
import io.vanillapoint.core.message.CompleteKey;
import io.vanillapoint.core.message.ConfigReply;
import io.vanillapoint.core.message.ConfigRequest;
import io.vanillapoint.core.message.Heartbeat;
import io.vanillapoint.core.message.HeartbeatReply;
import io.vanillapoint.core.message.KeyOutcome;
import io.vanillapoint.core.message.LoadReply;
import io.vanillapoint.core.message.LoadRequest;
import io.vanillapoint.core.message.PeerHello;
import io.vanillapoint.core.message.PeerMessage;
import io.vanillapoint.core.message.PublishedValue;
import io.vanillapoint.core.message.RegisterReply;
import io.vanillapoint.core.message.RegisterRequest;
import io.vanillapoint.core.message.ReserveReply;
import io.vanillapoint.core.message.ReserveRequest;
import io.vanillapoint.core.message.Settle;
import io.vanillapoint.core.message.StoredResponse;
import io.vanillapoint.core.routing.Dispatch;
import io.vanillapoint.core.routing.DispatchQuery;
import io.vanillapoint.core.routing.Dispatcher;
import io.vanillapoint.core.routing.UpstreamTable;
import io.vanillapoint.core.time.ClockReading;
import io.vanillapoint.core.time.ConservativeClock;
import io.vanillapoint.server.MonotonicTime;
import io.vanillapoint.server.event.HybridClock;
import io.vanillapoint.server.metric.GatewayMetrics;
import io.vanillapoint.server.peer.ControlLinks;
import io.vanillapoint.server.settings.DaemonSettings;
import io.vanillapoint.wire.PeerCodec;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Owns the mutable state of this VM: configuration, rate shares, upstream loads and the slots of
 * running requests. It runs on one control thread; traffic threads use the methods that return
 * futures and read {@link #config()}, which is an immutable snapshot.
 */
public final class ControlPlane {
    private static final long TICK_MILLIS = 100;
    private static final long PEER_CONFIG_INTERVAL_MILLIS = 1_000;
    private static final long EXCHANGE_IDS_PER_MILLI = 1_000;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final DaemonSettings settings;
    private final EventSink events;
    private final Vertx vertx;
    private final Context context;
    private final ConservativeClock clock;
    private final ConfigStore store;
    private final RegionAuthority authority;
    private final UpstreamTable upstreams;
    private final Dispatcher dispatcher;
    private final AdmissionController admissionController;
    private final PeerDirectory peers;
    private final TokenReserver reserver;
    private final KeyCoordinator keys;
    private volatile GatewayConfig config = GatewayConfig.empty();
    private volatile boolean draining;
    private boolean platformUp = true;
    private long nextPeerConfigRequestMillis;

    /**
     * Creates the control plane.
     *
     * @param vertx instance with one event loop, not shared with other components
     * @param settings settings of the daemon
     * @param hello handshake message that identifies this VM to its peers
     * @param policy chooses among the upstreams of this region
     * @param parser reads published values
     * @param events receives events
     * @param messageClock clock that timestamps the messages to other VMs
     * @param metrics counts control messages
     */
    public ControlPlane(
            Vertx vertx,
            DaemonSettings settings,
            PeerHello hello,
            UpstreamPolicy policy,
            ValueParser parser,
            EventSink events,
            HybridClock messageClock,
            GatewayMetrics metrics) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.settings = settings;
        this.events = events;
        this.clock = new ConservativeClock(System.nanoTime(), System.currentTimeMillis());
        this.store = new ConfigStore(parser, events);
        this.authority = createAuthority(hello);
        this.upstreams = new UpstreamTable(events);
        this.dispatcher =
                new Dispatcher(
                        settings.region(),
                        upstreams,
                        policy,
                        () -> ThreadLocalRandom.current().nextLong(),
                        settings.spill());
        this.peers =
                new PeerDirectory(
                        settings.vm(),
                        settings.region(),
                        createLinks(hello, messageClock, metrics),
                        this::config);
        ControlIdentity identity =
                new ControlIdentity(
                        settings.vm(),
                        settings.region(),
                        settings.sharePolicy(),
                        settings.timeouts().peerMillis(),
                        settings.timeouts().rateWaitMillis(),
                        hello.incarnation() * EXCHANGE_IDS_PER_MILLI);
        this.reserver =
                new TokenReserver(
                        vertx,
                        identity,
                        authority,
                        this::now,
                        peers::send,
                        peers::isReachable,
                        this::config,
                        events);
        AdmissionQueue queue =
                new AdmissionQueue(
                        settings.limits().maxRunning(),
                        settings.limits().maxQueue(),
                        settings.timeouts().queueMillis());
        this.admissionController = new AdmissionController(queue, reserver);
        this.keys =
                new KeyCoordinator(
                        vertx,
                        identity,
                        settings.timing().listLagMillis(),
                        peers::send,
                        this::config);
    }

    /** Starts the periodic tick, which sends heartbeats and expires waiting requests. */
    public void start() {
        context.runOnContext(ignored -> vertx.setPeriodic(TICK_MILLIS, timer -> tick()));
    }

    /**
     * Current configuration. May be read by any thread.
     *
     * @return immutable configuration
     */
    public GatewayConfig config() {
        return config;
    }

    /**
     * Tells whether this VM is draining: it finishes running requests and admits no new ones. May
     * be read by any thread.
     *
     * @return true after {@link #drain}
     */
    public boolean isDraining() {
        return draining;
    }

    /**
     * Context of the control thread.
     *
     * @return the context
     */
    public Context context() {
        return context;
    }

    /** Stops admitting requests. May be called by any thread. */
    public void drain() {
        draining = true;
        context.runOnContext(
                ignored -> {
                    events.record(EventCode.DRAINING, admissionController.running());
                    authority.startLeaving();
                });
    }

    /**
     * Reads the state that operators see.
     *
     * @return completed on the caller's context
     */
    public Future<ControlStatus> status() {
        return Contexts.callOn(context, () -> Future.succeededFuture(currentStatus()));
    }

    /**
     * Admits a request: assigns a running slot and reserves its tokens.
     *
     * @param customer customer, or null on a route that is open to all
     * @param tokens tokens to reserve
     * @param interactive true for a short request with a person waiting for it
     * @return the admission, or a refusal
     */
    public Future<Admission> admit(Customer customer, long tokens, boolean interactive) {
        return Contexts.callOn(
                context,
                () ->
                        draining
                                ? Future.failedFuture(shuttingDownRefusal())
                                : admissionController.admit(customer, tokens, interactive));
    }

    /**
     * Finishes a request: settles its tokens and frees its slot.
     *
     * @param admission its admission
     * @param used tokens that the request used
     */
    public void finish(Admission admission, long used) {
        context.runOnContext(ignored -> admissionController.finish(admission, used));
    }

    /**
     * Chooses the target of a request's next attempt. The API key is checked again, since it may
     * have been revoked while the request waited.
     *
     * @param key digest of the caller's key, or null if none was needed or another VM checked it
     * @param query the request
     * @param tokens tokens reserved for it
     * @return the target; if it is an upstream, the request already counts towards its load
     */
    public Future<Dispatch> dispatch(KeyDigest key, DispatchQuery query, long tokens) {
        return Contexts.callOn(
                context,
                () -> {
                    if (key != null && config.customerByKey(key).isEmpty()) {
                        return Future.succeededFuture(
                                new Dispatch.Unavailable(revokedKeyRefusal()));
                    }
                    Dispatch chosen =
                            dispatcher.choose(MonotonicTime.millis(), query, peers::isReachable);
                    requestLoads(query);
                    if (chosen instanceof Dispatch.ToUpstream local) {
                        upstreams.begin(local.upstream().id(), tokens);
                    }
                    return Future.succeededFuture(chosen);
                });
    }

    /**
     * Records the load that an upstream reports. Runs on the control thread.
     *
     * @param upstream upstream that reports
     * @param running requests that it runs, from all VMs
     */
    public void recordUpstreamLoad(UpstreamId upstream, double running) {
        upstreams.report(MonotonicTime.millis(), upstream, running);
    }

    /**
     * Records that an upstream finished a request.
     *
     * @param upstream the upstream
     * @param tokens tokens reserved for the request
     * @param succeeded false if the upstream failed
     */
    public void recordUpstreamCompletion(UpstreamId upstream, long tokens, boolean succeeded) {
        context.runOnContext(
                ignored -> upstreams.end(MonotonicTime.millis(), upstream, tokens, succeeded));
    }

    /**
     * Issues an idempotency key.
     *
     * @param customer the caller's customer
     * @return the key, or a refusal if too few VMs could be asked to remember it
     */
    public Future<String> issueKey(Customer customer) {
        return Contexts.callOn(context, () -> keys.issue(customer, currentEntries(customer)));
    }

    /**
     * Registers an attempt of a request that must run at most once.
     *
     * @param customer the caller's customer
     * @param key the idempotency key that the caller sent
     * @param attempt unique name of the attempt
     * @param fingerprint digest of the request
     * @return the registration and whether to run the request
     */
    public Future<RegisteredKey> registerKey(
            Customer customer, PresentedKey key, String attempt, String fingerprint) {
        return Contexts.callOn(context, () -> keys.register(customer, key, attempt, fingerprint));
    }

    /**
     * Records the end of an attempt that was registered with {@link #registerKey}.
     *
     * @param key its registration
     * @param outcome outcome of the attempt
     * @param response the response to store for repeats of the request, if any
     */
    public void completeKey(
            RegisteredKey key, KeyOutcome outcome, Optional<StoredResponse> response) {
        context.runOnContext(ignored -> keys.complete(key.registration(), outcome, response));
    }

    /**
     * Lists the VMs that a caller can connect to, in order of preference.
     *
     * @param customer the caller's customer
     * @return VMs in the customer's permitted regions that admit requests; this region's first
     */
    public Future<List<Vm>> entries(Customer customer) {
        return Contexts.callOn(context, () -> Future.succeededFuture(currentEntries(customer)));
    }

    /**
     * Handles a control message from another VM.
     *
     * @param from sender
     * @param message message that it sent
     * @return the reply, if the message expects one
     */
    public Future<Optional<PeerMessage>> receive(VmId from, PeerMessage message) {
        return Contexts.callOn(context, () -> Future.succeededFuture(handleRequest(from, message)));
    }

    /**
     * Applies published values from the platform or a peer. Runs on the control thread.
     *
     * @param values the values
     * @param completeThroughRevision revision up to which they are complete
     * @param source sender, recorded in events
     */
    public void acceptValues(
            Collection<PublishedValue> values, long completeThroughRevision, String source) {
        if (store.accept(values, completeThroughRevision, source)) {
            config = store.current();
            dispatcher.configure(config);
            keys.updateVmList(config);
        }
        authority.configure(now(), config, store.vmListRevision());
    }

    /**
     * Records a successful read from the platform. Runs on the control thread.
     *
     * @param requestedAt time at which the read was sent
     */
    public void recordPlatformRead(ClockReading requestedAt) {
        authority.recordListRead(requestedAt);
        if (!platformUp) {
            platformUp = true;
            events.record(EventCode.PLATFORM_REACHABLE, store.completeThroughRevision());
        }
    }

    /**
     * Records a failed read from the platform. Runs on the control thread.
     *
     * @param error cause of the failure
     */
    public void recordPlatformFailure(Throwable error) {
        if (platformUp) {
            platformUp = false;
            events.record(EventCode.PLATFORM_UNREACHABLE, error.getMessage());
        }
    }

    /**
     * Revision up to which all published values are known. Runs on the control thread.
     *
     * @return revision, 0 before the first read
     */
    public long completeThroughRevision() {
        return store.completeThroughRevision();
    }

    /**
     * Tells whether this VM's base share of the rates is active. Runs on the control thread.
     *
     * @return false for a newcomer, which waits for its share after a start
     */
    public boolean holdsShare() {
        return authority.isActive();
    }

    /**
     * Reads the clocks. Runs on the control thread.
     *
     * @return the reading
     */
    public ClockReading now() {
        return clock.read(System.nanoTime(), System.currentTimeMillis());
    }

    private RegionAuthority createAuthority(PeerHello hello) {
        AuthoritySettings authoritySettings =
                new AuthoritySettings(
                        settings.vm(),
                        settings.region(),
                        hello.incarnation(),
                        settings.timing(),
                        settings.sharePolicy());
        return new RegionAuthority(authoritySettings, now(), events, new Invariants(events));
    }

    private ControlLinks createLinks(
            PeerHello hello, HybridClock messageClock, GatewayMetrics metrics) {
        return new ControlLinks(
                vertx,
                new PeerCodec(settings.limits().maxFrameBytes()),
                hello,
                settings.timeouts().connectMillis(),
                settings.timing().failureMillis(),
                events,
                messageClock,
                this::handleReply,
                metrics::countControlFrame);
    }

    /**
     * Requests the load of one VM in each region that could take work while this region is busy.
     */
    private void requestLoads(DispatchQuery query) {
        for (RegionId region : dispatcher.regionsToQuery(MonotonicTime.millis(), query)) {
            peers.randomVmIn(region)
                    .ifPresent(vm -> peers.send(vm, new LoadRequest(query.target())));
        }
    }

    private void tick() {
        ClockReading now = now();
        authority.tick(now).forEach(outgoing -> peers.send(outgoing.to(), outgoing.message()));
        admissionController.expireWaiting();
        if (!platformUp && now.monotonicMillis() >= nextPeerConfigRequestMillis) {
            nextPeerConfigRequestMillis = now.monotonicMillis() + PEER_CONFIG_INTERVAL_MILLIS;
            peers.sendToAny(
                    new ConfigRequest(store.completeThroughRevision()), settings.seedPeers());
        }
    }

    private Optional<PeerMessage> handleRequest(VmId from, PeerMessage message) {
        if (message instanceof Heartbeat heartbeat) {
            requestNewerConfig(from, heartbeat.configRevision());
            return Optional.of(authority.receive(now(), from, heartbeat));
        }
        if (message instanceof ReserveRequest request) {
            return Optional.of(reserver.handleRequest(from, request));
        }
        if (message instanceof Settle settle) {
            authority.settle(now(), from, settle.id(), settle.unused());
            return Optional.empty();
        }
        if (message instanceof RegisterRequest request) {
            return Optional.of(keys.handleRequest(request));
        }
        if (message instanceof CompleteKey complete) {
            keys.complete(complete);
            return Optional.empty();
        }
        if (message instanceof LoadRequest request) {
            double load =
                    upstreams.lowestLoad(
                            MonotonicTime.millis(), request.target(), settings.region());
            return Optional.of(new LoadReply(request.target(), settings.region(), load));
        }
        if (message instanceof ConfigRequest request) {
            return Optional.of(
                    new ConfigReply(
                            store.completeThroughRevision(), store.newerThan(request.newerThan())));
        }
        return Optional.empty();
    }

    private void handleReply(VmId from, PeerMessage message) {
        if (message instanceof HeartbeatReply reply) {
            requestNewerConfig(from, reply.configRevision());
            authority.receive(now(), from, reply);
        } else if (message instanceof ReserveReply reply) {
            reserver.handleReply(reply);
        } else if (message instanceof LoadReply reply) {
            dispatcher
                    .loads()
                    .report(MonotonicTime.millis(), reply.target(), reply.region(), reply.load());
        } else if (message instanceof RegisterReply reply) {
            keys.handleReply(from, reply);
        } else if (message instanceof ConfigReply reply) {
            acceptValues(reply.values(), reply.completeThroughRevision(), "peer " + from);
        }
    }

    private void requestNewerConfig(VmId from, long revision) {
        if (revision > config.revision()) {
            peers.send(from, new ConfigRequest(store.completeThroughRevision()));
        }
    }

    private List<Vm> currentEntries(Customer customer) {
        return peers.entries(customer, authority.liveVms(now()));
    }

    private ControlStatus currentStatus() {
        return new ControlStatus(
                settings.vm(),
                settings.region(),
                config.revision(),
                authority.isActive(),
                authority.baseShare(),
                List.copyOf(authority.liveVms(now())),
                admissionController.running(),
                admissionController.waiting(),
                draining);
    }

    private static VanillapointException shuttingDownRefusal() {
        return VanillapointException.refusal(
                ErrorCode.SHUTTING_DOWN, "this VM is shutting down", RETRY_AFTER);
    }

    private static VanillapointException revokedKeyRefusal() {
        return new VanillapointException(
                ErrorCode.UNKNOWN_KEY, "key", "the key was withdrawn while the request waited");
    }
}
