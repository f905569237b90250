package io.vanillapoint.entry;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.fleet.CustomerSpend;
import io.vanillapoint.core.fleet.FleetReport;
import io.vanillapoint.core.fleet.FleetTiming;
import io.vanillapoint.core.fleet.FleetView;
import io.vanillapoint.core.fleet.HeartbeatFilter;
import io.vanillapoint.core.fleet.LoadMeter;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.fleet.MemberState;
import io.vanillapoint.core.fleet.ReportKind;
import io.vanillapoint.core.fleet.ReportPager;
import io.vanillapoint.core.fleet.VmRoster;
import io.vanillapoint.core.grant.GrantMeter;
import io.vanillapoint.core.grant.GrantTolerance;
import io.vanillapoint.core.hash.Rendezvous;
import io.vanillapoint.core.memory.BodyMemoryBudget;
import io.vanillapoint.core.prompt.SessionLocations;
import io.vanillapoint.core.published.GatewayPublication;
import io.vanillapoint.core.retry.RetryAllowance;
import io.vanillapoint.core.upstream.LongPromptLimit;
import io.vanillapoint.core.upstream.PlacementWeights;
import io.vanillapoint.core.upstream.ProbePlan;
import io.vanillapoint.core.upstream.ReplicaChooser;
import io.vanillapoint.core.upstream.UpstreamPool;
import io.vanillapoint.entry.control.EntryControl;
import io.vanillapoint.entry.control.EntryTuning;
import io.vanillapoint.entry.control.PublishedState;
import io.vanillapoint.entry.control.StopSchedule;
import io.vanillapoint.entry.log.ConnectionFailureCounter;
import io.vanillapoint.entry.log.DecisionLog;
import io.vanillapoint.entry.log.EntryMetrics;
import io.vanillapoint.entry.log.LineWriter;
import io.vanillapoint.entry.log.UnexpectedErrors;
import io.vanillapoint.entry.port.EntryPlatform;
import io.vanillapoint.entry.relay.RelayHandler;
import io.vanillapoint.entry.relay.VmClientFactory;
import io.vanillapoint.entry.settings.EntrySettings;
import io.vanillapoint.entry.traffic.CallerHandler;
import io.vanillapoint.entry.traffic.EntryContext;
import io.vanillapoint.entry.traffic.EventLoopGate;
import io.vanillapoint.entry.traffic.EventLoopLag;
import io.vanillapoint.entry.traffic.OutlierLog;
import io.vanillapoint.entry.traffic.PromptGuard;
import io.vanillapoint.entry.traffic.ReachLog;
import io.vanillapoint.entry.traffic.ReplicaProber;
import io.vanillapoint.entry.traffic.RequestBodies;
import io.vanillapoint.entry.traffic.ResponseMemoryBudget;
import io.vanillapoint.entry.traffic.RouteDurations;
import io.vanillapoint.http.StrictHttpClient;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.PoolOptions;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongSupplier;

/**
 * One entry VM: listeners, membership, synchronization with the store and requests, all on one
 * event loop. These VMs have one core, so a second thread for control tasks would only add
 * wake-ups.
 *
 * <p>Invariant: the VM reports that it is ready only while it has a configuration and has not been
 * asked to stop. Confined to its event loop, except for {@link #stop}, which any thread may call.
 */
public final class EntryNode {

    /** More connections than a one-core VM can use at a time. */
    private static final int MAX_CONNECTIONS = 3_000;

    private final Vertx vertx;
    private final EntrySettings settings;
    private final EntryTuning tuning = EntryTuning.DEFAULT;
    private final DecisionLog log;
    private final UnexpectedErrors errors;
    private final EntryMetrics metrics = new EntryMetrics();
    private final LongSupplier clock = () -> System.nanoTime() / 1_000_000;
    private final FleetView fleet;
    private final HeartbeatFilter heartbeats;
    private final VmRoster roster;
    private final UpstreamPool pool;
    private final SessionLocations sessions = new SessionLocations();
    private final GrantMeter grants;
    private final RetryAllowance retries;
    private final PromptGuard prompts;
    private final ResponseMemoryBudget memory =
            new ResponseMemoryBudget(Runtime.getRuntime().maxMemory());
    private final BodyMemoryBudget bodyMemory =
            new BodyMemoryBudget(Runtime.getRuntime().maxMemory());
    private final PublishedState publishedState;
    private final EntryControl control;
    private final CallerHandler callers;
    private final RelayHandler relays;
    private final EntryListeners listeners;
    private final ReplicaProber prober;
    private final ReachLog reachLog;
    private final OutlierLog outlierLog;
    private final Promise<Void> stopped = Promise.promise();
    private final EventLoopLag lag;
    private final LoadMeter load = new LoadMeter();
    private final ReportPager pager;
    private final StopSchedule stopSchedule;
    private final DrainAdmission admission;
    private long behindSinceMillis = -1;
    private boolean rosterSettled;

    /**
     * Creates a VM that has not been started.
     *
     * @param vertx event loop to run on
     * @param settings settings of the VM
     * @param platform formats and store client of the platform
     * @param incarnation start time of the process in milliseconds since 1970
     * @param writer output of log lines
     */
    public EntryNode(
            Vertx vertx,
            EntrySettings settings,
            EntryPlatform platform,
            long incarnation,
            LineWriter writer) {
        this.vertx = vertx;
        this.settings = settings;
        log = new DecisionLog(settings.vm(), System::currentTimeMillis, writer);
        errors = new UnexpectedErrors(log, metrics);
        fleet = new FleetView(self(incarnation), FleetTiming.DEFAULT, settings.minFleetSize());
        heartbeats = new HeartbeatFilter(fleet, settings.zones());
        roster = createRoster(fleet.self());
        pager = new ReportPager(settings.vm().hashCode() + incarnation);
        pool = new UpstreamPool(settings.zones());
        grants = new GrantMeter(new GrantTolerance(settings.quotaSlackTokens()));
        retries = new RetryAllowance(settings.retries(), now());
        stopSchedule = createStopSchedule();
        publishedState =
                new PublishedState(
                        platform.published(), pool, log, errors, clock, this::applyPublication);
        lag = new EventLoopLag(tuning.tickMillis(), now());
        prompts = createPromptGuard(incarnation);
        EntryContext context = createContext(platform);
        RouteDurations durations = new RouteDurations();
        RequestBodies bodies = new RequestBodies(bodyMemory, log, metrics);
        admission = new DrainAdmission(fleet, clock, stopSchedule, durations);
        callers =
                new CallerHandler(
                        context,
                        publishedState::publication,
                        publishedState::position,
                        grants,
                        this::stopping,
                        admission::admits,
                        durations,
                        bodies);
        relays = createRelayHandler(context, bodies);
        ProbePlan probes = new ProbePlan(pool, settings.vm().hashCode() + incarnation, now());
        prober = new ReplicaProber(context, platform.replicaStatus(), probes);
        reachLog = new ReachLog(context);
        outlierLog = new OutlierLog(context);
        control =
                new EntryControl(
                        context,
                        publishedState,
                        platform.source(vertx, settings.store(), failureCounter("store")),
                        this::nextReport,
                        this::receiveReport,
                        callers::awaitsConfiguration);
        listeners =
                new EntryListeners(
                        context,
                        settings,
                        platform.entry(),
                        tuning,
                        publishedState,
                        control,
                        callers,
                        relays,
                        load);
        registerGauges(writer);
    }

    private StopSchedule createStopSchedule() {
        return new StopSchedule(
                tuning.minDrainMillis(),
                tuning.admitAllMillis(),
                settings.graceMillis() - tuning.killMarginMillis(),
                tuning.tickMillis());
    }

    private PromptGuard createPromptGuard(long incarnation) {
        return new PromptGuard(
                vertx,
                clock,
                log,
                metrics,
                settings.vm().hashCode() + incarnation,
                this::probesPrompts,
                this::recheckPrompts);
    }

    private RelayHandler createRelayHandler(EntryContext context, RequestBodies bodies) {
        return new RelayHandler(
                context,
                publishedState::publication,
                admission::ending,
                admission::admitsRelayed,
                bodies);
    }

    private EntryContext createContext(EntryPlatform platform) {
        return new EntryContext(
                vertx,
                clock,
                new EventLoopGate(vertx, clock, lag),
                log,
                metrics,
                platform.requests(),
                fleet,
                roster,
                pool,
                new ReplicaChooser(pool, fleet, roster, PlacementWeights.DEFAULT, sessions),
                sessions,
                retries,
                prompts,
                memory,
                upstreamClient(),
                VmClientFactory.create(vertx, failureCounter("vm")),
                settings.peerPort(),
                this::configurationVersion);
    }

    private MemberInfo self(long incarnation) {
        return new MemberInfo(
                settings.vm(),
                settings.host(),
                settings.region(),
                settings.zone(),
                settings.capacity(),
                incarnation,
                MemberState.STARTING);
    }

    private VmRoster createRoster(MemberInfo self) {
        Set<ZoneId> regionZones = new HashSet<>(settings.zones().keySet());
        regionZones.removeIf(zone -> !settings.zones().get(zone).equals(self.region()));
        return new VmRoster(self, regionZones, settings.minFleetSize(), FleetTiming.DEFAULT, now());
    }

    private void registerGauges(LineWriter writer) {
        metrics.gauge("log.library_warnings_left_out", writer::droppedWarnings);
        metrics.gauge("fleet.members", () -> fleet.members().size());
        metrics.gauge("fleet.vms_refused", heartbeats::refusedVms);
        metrics.gauge("fleet.region_vms", () -> roster.regionVms().size());
        metrics.gauge("fleet.list_settled", () -> roster.settled(now()) ? 1 : 0);
        metrics.gauge("fleet.heard_percent", () -> Math.round(100 * fleet.heardFraction(now())));
        metrics.gauge("publication.revision", () -> publishedState.position().revision());
        metrics.gauge("publication.era", () -> publishedState.position().era());
        metrics.gauge("publication.version", this::configurationVersion);
        metrics.gauge("store.copy_items", publishedState::items);
        metrics.gauge("store.copy_bytes", publishedState::bytes);
        metrics.gauge("store.copy_items_dropped", publishedState::itemsDropped);
        metrics.gauge("store.lost_ms", control::storeUnavailableMillis);
        metrics.gauge("replicas.known", () -> pool.replicas().size());
        metrics.gauge("engines.prefix_cache_bytes", () -> pool.prefixCaches().heldBytes());
        metrics.gauge(
                "engines.prefix_cache_parts_dropped", () -> pool.prefixCaches().droppedParts());
        metrics.gauge(
                "engines.deferrable_tokens",
                () -> LongPromptLimit.tokensPerEngine(pool, fleet).getSum());
        metrics.gauge(
                "engines.deferrable_tokens_max",
                () -> Math.max(0, LongPromptLimit.tokensPerEngine(pool, fleet).getMax()));
        metrics.gauge("loop.delay_ms", () -> lag.delayMillis(now()));
        metrics.gauge("requests.load_millicores", () -> load.milliCores(now()));
        metrics.gauge("answers.held_bytes", memory::heldBytes);
        metrics.gauge("bodies.held_bytes", bodyMemory::heldBytes);
        metrics.gauge("bodies.limit_bytes", bodyMemory::limitBytes);
        metrics.gauge("prompts.holds", prompts::holds);
        metrics.gauge("requests.running", () -> callers.running() + relays.running());
    }

    private long configurationVersion() {
        return publishedState.publication().map(GatewayPublication::version).orElse(0L);
    }

    private long now() {
        return clock.getAsLong();
    }

    /**
     * Starts listeners, heartbeats and reading of the store.
     *
     * @return completed when all ports are open
     */
    public Future<Void> start() {
        Promise<Void> started = Promise.promise();
        vertx.runOnContext(
                ignored -> {
                    MemberInfo self = fleet.self();
                    log.record(
                            EventCode.ENTRY_STARTED,
                            self.region(),
                            self.zone(),
                            self.incarnation());
                    vertx.setPeriodic(tuning.tickMillis(), unused -> tick());
                    Future.succeededFuture()
                            .compose(nothing -> listeners.start())
                            .compose(done -> control.start(settings.seeds()))
                            .onComplete(started);
                });
        return started.future();
    }

    /**
     * Stops gracefully: callers are directed to other VMs, and running requests may finish within
     * the grace period.
     *
     * @return completed when the process may exit
     */
    public Future<Void> stop() {
        vertx.runOnContext(ignored -> drain());
        return stopped.future();
    }

    /**
     * Applies reloaded settings.
     *
     * @param newer the settings; only the seeds may differ, other changes are not applied
     * @param cause what triggered the reload, for the log
     */
    public void reload(EntrySettings newer, String cause) {
        vertx.runOnContext(
                ignored -> {
                    control.seeds(newer.seeds());
                    log.record(EventCode.SETTINGS_RELOADED, newer.seeds(), cause);
                });
    }

    /**
     * Records that the settings could not be reloaded.
     *
     * @param error problem found in the settings
     */
    public void reloadFailed(String error) {
        vertx.runOnContext(ignored -> log.record(EventCode.SETTINGS_REFUSED, error));
    }

    private void tick() {
        errors.contain("measuring the event loop", this::updateLag);
        errors.contain("updating the number of VMs", this::updateVmCount);
        errors.contain("applying values of the store", publishedState::applyHeldBack);
        errors.contain("dropping replicas", () -> pool.prune(now()));
        errors.contain("probing replicas", prober::check);
        errors.contain("logging what is in reach", reachLog::check);
        errors.contain("logging ejected replicas", outlierLog::check);
        errors.contain("releasing prompts", prompts::prune);
        errors.contain("updating the list of VMs", this::updateRoster);
        errors.contain("closing connections", listeners::sweepConnections);
        errors.contain("flushing the log", log::flush);
    }

    private void updateVmCount() {
        retries.updateVmCount(fleet.knownVms(), fleet.knowsVmsOf(settings.zones().values()));
    }

    private void updateRoster() {
        long now = now();
        roster.prune(now);
        boolean settled = roster.settled(now);
        if (settled != rosterSettled) {
            rosterSettled = settled;
            log.record(
                    EventCode.VM_LIST_SETTLED,
                    settled,
                    roster.regionVms().size(),
                    roster.size(),
                    roster.maxReportedRegionVms());
        }
    }

    private void updateLag() {
        long now = now();
        lag.tick(now);
        if (lag.isBehind(now) && behindSinceMillis < 0) {
            behindSinceMillis = now;
            log.record(EventCode.LOOP_BEHIND, lag.delayMillis(now));
        } else if (!lag.isBehind(now) && behindSinceMillis >= 0) {
            log.record(EventCode.LOOP_CAUGHT_UP, now - behindSinceMillis);
            behindSinceMillis = -1;
        }
    }

    private void drain() {
        if (stopping()) {
            return;
        }
        admission.stopRequested();
        errors.contain(
                "announcing the stop", () -> changeState(MemberState.DRAINING, "stop requested"));
        stopIfDue();
    }

    private void stopIfDue() {
        long elapsed = admission.elapsedMillis();
        if (stopSchedule.shouldStop(elapsed, callers.running() + relays.running() == 0)) {
            shutDown();
        } else {
            vertx.setTimer(stopSchedule.nextCheckDelayMillis(elapsed), ignored -> stopIfDue());
        }
    }

    private void shutDown() {
        admission.end();
        errors.contain("announcing the end", () -> changeState(MemberState.GONE, "drain finished"));
        log.record(EventCode.ENTRY_STOPPED, callers.running() + relays.running());
        errors.contain("ending requests", callers::abortAll);
        errors.contain("ending relayed requests", relays::abortAll);
        errors.contain("flushing the log", log::flush);
        listeners
                .stop(tuning.closeTimeoutMillis())
                .onComplete(
                        closed -> {
                            errors.contain("flushing the log", log::flush);
                            stopped.tryComplete();
                        });
    }

    private void changeState(MemberState state, String reason) {
        fleet.changeSelfState(state, now());
        log.record(EventCode.ENTRY_STATE, state, reason);
        control.announce();
    }

    private boolean stopping() {
        return fleet.self().state().compareTo(MemberState.READY) > 0;
    }

    private void receiveReport(FleetReport received) {
        heartbeats.admit(received).ifPresent(this::merge);
    }

    private void merge(FleetReport report) {
        long now = now();
        roster.observe(report, now);
        List<CustomerSpend> spends = fleet.receive(report, now);
        sessions.mergeReads(report.reads(), now);
        pool.mergeSilences(report, now);
        pool.mergeSignals(report, now);
        prompts.merge(report.quarantine());
        if (report.self().region().equals(fleet.self().region())) {
            pool.mergeRejectionLimits(report.rejectionLimits(), now);
        }
        if (!spends.isEmpty()) {
            grants.chargeRemote(spends, fleet.heardFraction(now), now);
        }
    }

    private void applyPublication(GatewayPublication publication) {
        long now = now();
        grants.configure(publication.customers(), fleet.heardFraction(now), now);
        if (fleet.self().state() == MemberState.STARTING) {
            changeState(MemberState.READY, "configuration received");
        }
        pool.loadAwareness().configure(publication);
        callers.configurationChanged();
    }

    /** Tells whether this VM, of all VMs, tests whether prompt parts are still harmful. */
    private boolean probesPrompts(Set<Long> parts) {
        String key = new TreeSet<>(parts).toString();
        Set<RegionId> regions = new HashSet<>(settings.zones().values());
        return Rendezvous.pick(key, regions, RegionId::value)
                        .filter(fleet.self().region()::equals)
                        .isPresent()
                && roster.settled(now())
                && roster.rank(key) == 0;
    }

    private void recheckPrompts() {
        callers.recheckPrompts();
        relays.recheckPrompts();
    }

    private FleetReport nextReport(ReportKind kind) {
        long now = now();
        int neededMilliCores = lag.isBehind(now) ? settings.capacity() : load.milliCores(now);
        FleetReport.Builder report =
                fleet.nextReport(neededMilliCores)
                        .regionVms(roster.runningRegionVms())
                        .store(publishedState.position(), control.readsStore());
        pager.fill(
                report,
                fleet.self(),
                new ReportPager.Content(
                        grants.localUsage(),
                        pool.outstandingByReplica(),
                        sessions.recentReads(now),
                        fleet.observations(now),
                        prompts.report(),
                        pool.unreachable(fleet.self().region(), now),
                        pool.receivedRejectionLimits(now),
                        pool.silences(now),
                        pool.signals(now)),
                kind.maxMembers());
        return report.build();
    }

    private Handler<HttpConnection> failureCounter(String peer) {
        ConnectionFailureCounter counter = new ConnectionFailureCounter(metrics);
        return connection -> counter.countFailures(connection, peer);
    }

    /** A replica's connection carries one request, whose deadline ends it. */
    static HttpClientOptions upstreamOptions() {
        return new HttpClientOptions().setKeepAlive(false).setTcpNoDelay(true);
    }

    private HttpClient upstreamClient() {
        PoolOptions connections =
                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS).setEventLoopSize(1);
        return StrictHttpClient.createWithBoundedReads(
                vertx, upstreamOptions(), connections, failureCounter("upstream"));
    }
}
