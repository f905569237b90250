package io.vanillapoint.http;

import io.netty.channel.Channel;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The connections of one port. Beyond their number, a new one replaces one that waits for its
 * client: first one that has been sending a request for long, then the one that has been without a
 * request longest. Connections whose requests are in progress are not replaced.
 *
 * <p>Confined to one event loop.
 */
public final class InboundPort {
    /** Time in which the first request of a client usually arrives. */
    private static final long FIRST_REQUEST_MILLIS = 1_000;

    private final InboundConnections connections;
    private final String name;
    private final int maxConnections;
    private final int loops;
    private final Idle idlePolicy;
    private final Set<Channel> servers = new HashSet<>();
    private final Set<RequestGuard> unfinished = new LinkedHashSet<>();
    private final Set<RequestGuard> idle = new LinkedHashSet<>();
    private final Set<RequestGuard> busy = new LinkedHashSet<>();

    InboundPort(
            InboundConnections connections,
            String name,
            int maxConnections,
            int loops,
            Idle idlePolicy) {
        this.connections = connections;
        this.name = name;
        this.maxConnections = maxConnections;
        this.loops = loops;
        this.idlePolicy = idlePolicy;
    }

    /**
     * Guards a connection that has just been opened.
     *
     * @param connection HTTP/1.1 connection without encryption, on its event loop
     */
    public void guard(HttpConnection connection) {
        Channel channel = ((ConnectionBase) connection).channel();
        if (servers.add(channel.parent())) {
            AcceptLimit.install(channel.parent(), loops * maxConnections);
        }
        RequestGuard guard = new RequestGuard(connections, this);
        guard.install(channel);
        if (count() >= maxConnections && !replaceOne()) {
            guard.close("too_many_connections");
        } else {
            add(guard, Phase.UNFINISHED);
        }
    }

    private boolean replaceOne() {
        RequestGuard slowest = first(unfinished);
        boolean slow =
                slowest != null && connections.passed(slowest.sinceMillis(), FIRST_REQUEST_MILLIS);
        RequestGuard replaced = slow || idle.isEmpty() ? slowest : first(idle);
        if (replaced != null) {
            replaced.close("replaced");
        }
        return replaced != null;
    }

    private static RequestGuard first(Set<RequestGuard> guards) {
        Iterator<RequestGuard> iterator = guards.iterator();
        return iterator.hasNext() ? iterator.next() : null;
    }

    void sweep() {
        new ArrayList<>(unfinished).forEach(RequestGuard::checkTime);
        new ArrayList<>(busy).forEach(RequestGuard::checkTime);
        if (idlePolicy == Idle.CLOSED) {
            new ArrayList<>(idle).forEach(RequestGuard::checkTime);
        }
    }

    /** Puts a connection behind the others in the same phase. */
    void add(RequestGuard guard, Phase phase) {
        members(phase).add(guard);
    }

    void remove(RequestGuard guard, Phase phase) {
        members(phase).remove(guard);
    }

    private Set<RequestGuard> members(Phase phase) {
        return switch (phase) {
            case UNFINISHED -> unfinished;
            case BUSY -> busy;
            case IDLE -> idle;
        };
    }

    Set<RequestGuard> unfinished() {
        return unfinished;
    }

    /**
     * Name for logs and metrics.
     *
     * @return the name
     */
    public String name() {
        return name;
    }

    boolean closesIdle() {
        return idlePolicy == Idle.CLOSED;
    }

    int count() {
        return unfinished.size() + idle.size() + busy.size();
    }

    /** What happens to connections that are idle for the idle time. */
    public enum Idle {
        /** They are closed. */
        CLOSED,
        /** They are kept, since a request of the other side may cross the close. */
        KEPT
    }

    /** What a connection waits for. */
    enum Phase {
        /** The first request, or the rest of one. */
        UNFINISHED,
        /** The response to a request that has been read. */
        BUSY,
        /** The next request. */
        IDLE
    }
}
