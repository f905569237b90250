package io.vanillapoint.server.traffic;

import io.vanillapoint.api.event.EventSink;
import io.vanillapoint.core.memory.BodyMemoryBudget;
import io.vanillapoint.core.message.PeerHello;
import io.vanillapoint.core.retry.RetryBudget;
import io.vanillapoint.http.AcceptLimit;
import io.vanillapoint.http.InboundPort;
import io.vanillapoint.server.MonotonicTime;
import io.vanillapoint.server.control.ControlPlane;
import io.vanillapoint.server.event.HybridClock;
import io.vanillapoint.server.kernel.Kernel;
import io.vanillapoint.server.metric.GatewayMetrics;
import io.vanillapoint.server.peer.FrameSocket;
import io.vanillapoint.server.settings.DaemonSettings;
import io.vanillapoint.wire.PeerCodec;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.net.NetServerOptions;
import java.util.AbstractSet;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Set;

/**
 * Serves callers and forwarded requests and calls upstreams on one event loop. All instances share
 * the listening ports. Confined to its event loop, except for {@link #running()} and {@link
 * #abortRunning()}.
 */
public final class TrafficVerticle extends VerticleBase {
    private static final double RETRIES_PER_REQUEST = 0.2;
    private static final double RETRIES_PER_SECOND = 5;
    private static final double MAX_RETRY_BUDGET = 50;

    /** Part of the callers' limit of connections that peers have. */
    private static final int PEER_PART = 8;

    private final DaemonSettings settings;
    private final Kernel kernel;
    private final ControlPlane control;
    private final PeerHello hello;
    private final EventSink events;
    private final HybridClock clock;
    private final GatewayMetrics metrics;
    private final String idPrefix;
    private final Set<RequestExecution> executions = new HashSet<>();
    private volatile int running;

    /**
     * Creates an instance.
     *
     * @param settings settings of the daemon
     * @param kernel plug-ins
     * @param control the control plane
     * @param hello handshake that identifies this VM to its peers
     * @param events receives events
     * @param clock supplies the timestamps of messages to other VMs
     * @param metrics counters and timers
     * @param idPrefix prefix of the request ids of this instance
     */
    public TrafficVerticle(
            DaemonSettings settings,
            Kernel kernel,
            ControlPlane control,
            PeerHello hello,
            EventSink events,
            HybridClock clock,
            GatewayMetrics metrics,
            String idPrefix) {
        this.settings = settings;
        this.kernel = kernel;
        this.control = control;
        this.hello = hello;
        this.events = events;
        this.clock = clock;
        this.metrics = metrics;
        this.idPrefix = idPrefix;
    }

    @Override
    public Future<?> start() {
        PeerCodec codec = new PeerCodec(settings.limits().maxFrameBytes());
        TrafficContext trafficContext =
                new TrafficContext(
                        settings,
                        kernel,
                        control,
                        events,
                        metrics,
                        new UpstreamClient(vertx, settings.timeouts()),
                        new ForwardClient(vertx, codec, hello, settings.timeouts(), events, clock),
                        new RetryBudget(
                                RETRIES_PER_REQUEST,
                                RETRIES_PER_SECOND,
                                MAX_RETRY_BUDGET,
                                MonotonicTime.millis()),
                        new RunningRequests(),
                        new BodyMemoryBudget(
                                Runtime.getRuntime().maxMemory()
                                        / settings.limits().trafficThreads()));
        CallerHandler callers = new CallerHandler(vertx, trafficContext, idPrefix);
        InboundPort callerPort =
                InboundRefusals.port(
                        vertx, settings, metrics, "callers", 1, settings.limits().trafficThreads());
        int maxPeers = Math.max(1, InboundRefusals.maxConnections(settings) / PEER_PART);
        Future<?> http =
                vertx.createHttpServer(InboundRefusals.options(settings))
                        .connectionHandler(callerPort::guard)
                        .requestHandler(callers::handle)
                        .invalidRequestHandler(callers::refuseMalformed)
                        .listen(settings.callers().port(), settings.callers().host());
        Future<?> peers =
                vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true))
                        .connectHandler(
                                socket -> {
                                    AcceptLimit.install(socket, maxPeers);
                                    new PeerConnection(
                                            vertx,
                                            trafficContext,
                                            new FrameSocket(socket, codec, events, clock));
                                })
                        .listen(settings.peers().port(), settings.peers().host());
        return Future.all(http, peers);
    }

    /**
     * Number of requests that are running on this event loop. Safe to call from any thread.
     *
     * @return zero or more
     */
    public int running() {
        return running;
    }

    /** Aborts all running requests. Safe to call from any thread. */
    public void abortRunning() {
        context.runOnContext(
                ignored -> new ArrayList<>(executions).forEach(RequestExecution::abort));
    }

    /** Running requests; publishes their number to other threads. */
    private final class RunningRequests extends AbstractSet<RequestExecution> {
        @Override
        public boolean add(RequestExecution execution) {
            boolean added = executions.add(execution);
            running = executions.size();
            return added;
        }

        @Override
        public boolean remove(Object execution) {
            boolean removed = executions.remove(execution);
            running = executions.size();
            return removed;
        }

        @Override
        public Iterator<RequestExecution> iterator() {
            return executions.iterator();
        }

        @Override
        public int size() {
            return executions.size();
        }
    }
}
