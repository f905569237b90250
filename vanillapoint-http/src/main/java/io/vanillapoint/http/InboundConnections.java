package io.vanillapoint.http;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * All connections of one event loop on which requests arrive, of all ports: the only place that
 * decides what a request may cost before it is read, and which connections are kept.
 *
 * <p>Time is counted in sweeps, of which each counts for little more than its interval: bytes that
 * wait unread while the event loop is behind must not make their connections seem idle. Confined to
 * one event loop.
 */
public final class InboundConnections {
    /** Interval in which limits of time are checked. */
    private static final long SWEEP_MILLIS = 1_000;

    /** Longest time that one sweep counts for. */
    private static final long MAX_STEP_MILLIS = 2 * SWEEP_MILLIS;

    private static final int SCRATCH_BYTES = BoundedReads.MAX_READ_BYTES;

    private final Supplier<InboundLimits> limits;
    private final InboundListener listener;
    private final HeadMemoryBudget memory;
    private final List<InboundPort> ports = new ArrayList<>();
    private byte[] scratch = new byte[SCRATCH_BYTES];
    private long millis;
    private long sweptAtMillis;

    /**
     * Creates a set without ports.
     *
     * @param headMemoryBytes limit on the memory for the heads of all requests
     * @param limits supplies the limits of each connection
     * @param listener learns what is refused or closed
     */
    public InboundConnections(
            long headMemoryBytes, Supplier<InboundLimits> limits, InboundListener listener) {
        this.limits = limits;
        this.listener = listener;
        memory = new HeadMemoryBudget(headMemoryBytes);
    }

    /**
     * Adds a port.
     *
     * @param name name for logs and metrics
     * @param maxConnections largest number of connections of this event loop
     * @param loops number of event loops that serve the port, each with as many connections
     * @param idle whether connections without a request are closed after the idle time
     * @return the port
     */
    public InboundPort port(String name, int maxConnections, int loops, InboundPort.Idle idle) {
        InboundPort port = new InboundPort(this, name, maxConnections, loops, idle);
        ports.add(port);
        return port;
    }

    /**
     * Closes connections whose time is over. Called several times a second.
     *
     * @param nowMillis monotonic time in milliseconds
     */
    public void sweep(long nowMillis) {
        long elapsed = nowMillis - sweptAtMillis;
        if (elapsed >= SWEEP_MILLIS) {
            sweptAtMillis = nowMillis;
            millis += Math.min(elapsed, MAX_STEP_MILLIS);
            ports.forEach(InboundPort::sweep);
        }
    }

    /**
     * Memory that heads take now.
     *
     * @return bytes
     */
    public long heldBytes() {
        return memory.heldBytes();
    }

    /**
     * Largest memory that heads may take.
     *
     * @return bytes
     */
    public long limitBytes() {
        return memory.limitBytes();
    }

    /**
     * Number of open connections of all ports.
     *
     * @return number of connections
     */
    public int count() {
        return ports.stream().mapToInt(InboundPort::count).sum();
    }

    InboundLimits limits() {
        return limits.get();
    }

    InboundListener listener() {
        return listener;
    }

    /** Time for the limits of connections, in milliseconds; never ahead of the clock. */
    long millis() {
        return millis;
    }

    /**
     * Tells whether a time limit has passed. A start is read from the clock of the last sweep, so
     * it may be one step too early.
     */
    boolean passed(long sinceMillis, long limitMillis) {
        return millis - sinceMillis > limitMillis + MAX_STEP_MILLIS;
    }

    /** Bytes for one turn of one connection. */
    byte[] scratch(int bytes) {
        if (scratch.length < bytes) {
            scratch = new byte[bytes];
        }
        return scratch;
    }

    /**
     * Changes the memory that a connection holds. Where it does not fit, connections with more
     * memory whose heads are unfinished are closed.
     *
     * @return false if it still does not fit; nothing is changed then
     */
    boolean tryResize(RequestGuard guard, long newBytes) {
        while (!memory.tryResize(guard.heldBytes(), newBytes)) {
            RequestGuard largest = largestUnfinished();
            if (largest == null || largest == guard || largest.heldBytes() < newBytes) {
                return false;
            }
            largest.close("head_memory");
        }
        return true;
    }

    private RequestGuard largestUnfinished() {
        RequestGuard largest = null;
        for (InboundPort port : ports) {
            for (RequestGuard guard : port.unfinished()) {
                boolean larger = largest == null || guard.heldBytes() > largest.heldBytes();
                if (larger && guard.isUnread()) {
                    largest = guard;
                }
            }
        }
        return largest;
    }
}
