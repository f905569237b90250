package io.vanillapoint.server;

import io.vanillapoint.api.event.Event;
import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.config.impl.DocumentParser;
import io.vanillapoint.core.message.PeerHello;
import io.vanillapoint.http.InboundTransport;
import io.vanillapoint.server.control.ControlPlane;
import io.vanillapoint.server.control.ControlStatus;
import io.vanillapoint.server.event.EventRecorder;
import io.vanillapoint.server.event.HybridClock;
import io.vanillapoint.server.kernel.Kernel;
import io.vanillapoint.server.metric.GatewayMetrics;
import io.vanillapoint.server.operator.OperatorListener;
import io.vanillapoint.server.platform.LoadPoller;
import io.vanillapoint.server.platform.PlatformWatcher;
import io.vanillapoint.server.settings.DaemonSettings;
import io.vanillapoint.server.traffic.TrafficVerticle;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.ArrayList;
import java.util.List;

/**
 * One running gateway: a control thread, traffic threads and three listeners.
 *
 * <p>Usage: call {@link #start()}, then {@link #drain()} once to shut down; {@link #stopped()}
 * completes when all requests have ended or were aborted. Safe for use by several threads.
 */
public final class Daemon {
    private static final long DRAIN_CHECK_MILLIS = 50;
    private static final long ABORT_GRACE_MILLIS = 500;

    private final DaemonSettings settings;
    private final HybridClock clock = new HybridClock(System::currentTimeMillis);
    private final EventRecorder recorder;
    private final Vertx controlVertx =
            InboundTransport.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final Vertx trafficVertx;
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final Kernel kernel = Kernel.load();
    private final PeerHello hello;
    private final ControlPlane control;
    private final List<TrafficVerticle> traffic = new ArrayList<>();
    private final Promise<Integer> stopped = Promise.promise();
    private boolean draining;
    private boolean aborting;
    private int abortedRequests;

    /**
     * Creates a daemon.
     *
     * @param settings checked settings
     */
    public Daemon(DaemonSettings settings) {
        this.settings = settings;
        this.recorder =
                new EventRecorder(settings.vm().value(), clock, settings.limits().timelineEvents());
        this.hello = new PeerHello(settings.vm(), System.currentTimeMillis(), PeerHello.PROTOCOL);
        this.trafficVertx =
                InboundTransport.vertx(
                        new VertxOptions()
                                .setEventLoopPoolSize(settings.limits().trafficThreads()));
        this.control =
                new ControlPlane(
                        controlVertx,
                        settings,
                        hello,
                        kernel.upstreamPolicy(settings.upstreamPolicy()),
                        DocumentParser.json(),
                        recorder,
                        clock,
                        metrics);
        registerGauges();
    }

    /**
     * Starts all components.
     *
     * @return completed when the listeners are open
     */
    public Future<Void> start() {
        PlatformWatcher watcher =
                new PlatformWatcher(
                        controlVertx,
                        settings.platform(),
                        settings.timeouts().connectMillis(),
                        control);
        OperatorListener operators =
                new OperatorListener(control, recorder, metrics, settings, this::drain);
        List<Future<?>> startups = new ArrayList<>();
        for (int i = 0; i < settings.limits().trafficThreads(); i++) {
            String prefix = settings.vm() + "-" + Long.toString(hello.incarnation(), 36) + "-" + i;
            TrafficVerticle verticle =
                    new TrafficVerticle(
                            settings,
                            kernel,
                            control,
                            hello,
                            recorder,
                            clock,
                            metrics,
                            prefix + "-");
            traffic.add(verticle);
            startups.add(trafficVertx.deployVerticle(verticle));
        }
        startups.add(operators.listen(trafficVertx, settings.operators()));
        control.start();
        new LoadPoller(controlVertx, settings.region(), control)
                .start(settings.timeouts().loadPollMillis());
        watcher.start();
        return Future.all(startups)
                .onSuccess(
                        ignored ->
                                recorder.record(
                                        EventCode.STARTED,
                                        hello.incarnation(),
                                        settings.region(),
                                        settings.callers(),
                                        settings.peers()))
                .mapEmpty();
    }

    /** Starts the graceful shutdown. A second call aborts the requests that still run. */
    public synchronized void drain() {
        if (draining) {
            abortRunning();
            return;
        }
        draining = true;
        trafficVertx.setTimer(settings.timeouts().drainMillis(), timer -> abortRunning());
        trafficVertx.setPeriodic(DRAIN_CHECK_MILLIS, this::stopIfIdle);
        control.drain();
    }

    /**
     * Completes when all requests have ended or were aborted.
     *
     * @return completed with the number of aborted requests
     */
    public Future<Integer> stopped() {
        return stopped.future();
    }

    /**
     * Reads the state of the daemon, for operators and for programs that embed it.
     *
     * @return completed with the state
     */
    public Future<ControlStatus> status() {
        return control.status();
    }

    /**
     * Events kept for the time line, oldest first.
     *
     * @return immutable copy
     */
    public List<Event> events() {
        return recorder.events();
    }

    /**
     * Closes threads and listeners immediately, without waiting for running requests.
     *
     * @return completed when all are closed
     */
    public Future<Void> close() {
        return Future.join(trafficVertx.close(), controlVertx.close()).mapEmpty();
    }

    private synchronized void abortRunning() {
        if (aborting) {
            return;
        }
        aborting = true;
        abortedRequests = running();
        trafficVertx.setTimer(ABORT_GRACE_MILLIS, timer -> stop());
        traffic.forEach(TrafficVerticle::abortRunning);
    }

    private void stopIfIdle(long timer) {
        if (running() == 0) {
            trafficVertx.cancelTimer(timer);
            stop();
        }
    }

    private synchronized void stop() {
        if (stopped.tryComplete(abortedRequests)) {
            recorder.record(EventCode.STOPPED, abortedRequests);
        }
    }

    private int running() {
        return traffic.stream().mapToInt(TrafficVerticle::running).sum();
    }

    private void registerGauges() {
        metrics.gauge("requests.running", this::running);
        metrics.longGauge("config.revision", () -> control.config().revision());
        metrics.longGauge("invariants.broken", recorder::brokenInvariants);
    }
}
