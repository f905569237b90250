package io.vanillapoint.http;

import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The connections of one port.
 *
 * <p>Confined to one event loop.
 */
public final class InboundPort {
    private final InboundConnections connections;
    private final String name;
    private final Idle idlePolicy;
    private final Set<RequestGuard> unfinished = new LinkedHashSet<>();
    private final Set<RequestGuard> idle = new LinkedHashSet<>();
    private final Set<RequestGuard> busy = new LinkedHashSet<>();

    InboundPort(InboundConnections connections, String name, Idle idlePolicy) {
        this.connections = connections;
        this.name = name;
        this.idlePolicy = idlePolicy;
    }

    /**
     * Guards a connection that has just been opened.
     *
     * @param connection HTTP/1.1 connection without encryption, on its event loop
     */
    public void guard(HttpConnection connection) {
        RequestGuard guard = new RequestGuard(connections, this);
        guard.install(((ConnectionBase) connection).channel());
        move(guard, Phase.UNFINISHED);
    }

    void sweep() {
        new ArrayList<>(unfinished).forEach(RequestGuard::checkTime);
        new ArrayList<>(busy).forEach(RequestGuard::checkTime);
        if (idlePolicy == Idle.CLOSED) {
            new ArrayList<>(idle).forEach(RequestGuard::checkTime);
        }
    }

    /** Puts a connection behind the others in the same phase. */
    void move(RequestGuard guard, Phase phase) {
        remove(guard);
        switch (phase) {
            case UNFINISHED -> unfinished.add(guard);
            case BUSY -> busy.add(guard);
            case IDLE -> idle.add(guard);
            default -> throw new IllegalArgumentException(phase.name());
        }
    }

    void remove(RequestGuard guard) {
        if (!idle.remove(guard) && !busy.remove(guard)) {
            unfinished.remove(guard);
        }
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
