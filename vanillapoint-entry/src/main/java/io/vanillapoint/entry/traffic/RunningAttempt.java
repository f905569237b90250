package io.vanillapoint.entry.traffic;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.attempt.AttemptMonitor;
import io.vanillapoint.core.attempt.AttemptOutcome;
import io.vanillapoint.core.quarantine.AttemptStage;
import io.vanillapoint.core.upstream.ReplicaTracker;
import io.vanillapoint.entry.port.ResponseEnvelope;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * One attempt of a request: where it was sent and what it has received so far. Passes what arrives
 * to the request together with itself, since a request may have a silent attempt beside its current
 * one.
 *
 * <p>Invariant: its load on the replica and its buffered bytes are released exactly once. Confined
 * to one event loop.
 */
final class RunningAttempt implements AttemptListener {
    /** Events of engines have a few hundred bytes. */
    private static final long UNCHARGED_BYTES = 4_096;

    private final Owner owner;
    private final ResponseMemoryBudget memory;
    private final String target;
    private final RegionId region;
    private final ReplicaUse use;
    private final AttemptMonitor monitor;
    private final AttemptProgress progress = new AttemptProgress();
    private Attempt connection;
    private ResponseEnvelope response;
    private Buffer body;
    private KeptBackStream keptBack = new KeptBackStream();
    private long chargedBytes;
    private boolean released;
    private boolean paused;
    private long resumedAtMillis = Long.MIN_VALUE;

    private RunningAttempt(
            Owner owner,
            ResponseMemoryBudget memory,
            String target,
            RegionId region,
            ReplicaUse use,
            AttemptMonitor monitor) {
        this.owner = owner;
        this.memory = memory;
        this.target = target;
        this.region = region;
        this.use = use;
        this.monitor = monitor;
    }

    /** Creates an attempt at a replica of this region. */
    static RunningAttempt atReplica(
            Owner owner, ResponseMemoryBudget memory, ReplicaUse use, AttemptMonitor monitor) {
        ReplicaTracker tracker = use.tracker();
        return new RunningAttempt(
                owner, memory, tracker.info().id(), tracker.region(), use, monitor);
    }

    /** Creates an attempt through another VM. */
    static RunningAttempt atVm(
            Owner owner, ResponseMemoryBudget memory, String vm, RegionId region) {
        return new RunningAttempt(owner, memory, vm, region, null, null);
    }

    /** Sets the connection, before the attempt can receive anything. */
    void connection(Attempt started) {
        connection = started;
    }

    /** Name of the replica or the VM. */
    String target() {
        return target;
    }

    /** Region of the replica or the VM. */
    RegionId region() {
        return region;
    }

    /** Load on the replica, empty for an attempt through another VM. */
    Optional<ReplicaUse> use() {
        return Optional.ofNullable(use);
    }

    AttemptProgress progress() {
        return progress;
    }

    AttemptStage stage(long nowMillis) {
        return progress.stage(nowMillis);
    }

    /** Head of the response, null before it was accepted. */
    ResponseEnvelope response() {
        return response;
    }

    /** Accepts the head; the body of a response that is not streamed is buffered. */
    void accept(ResponseEnvelope head, boolean streamed) {
        response = head;
        body = streamed ? null : Buffer.buffer();
    }

    /** Tells whether the response is buffered until it is complete. */
    boolean buffered() {
        return body != null;
    }

    /** The buffered body. */
    Buffer body() {
        return body;
    }

    /**
     * Adds data to the buffered body.
     *
     * @return false if a memory limit would be exceeded
     */
    boolean buffer(Buffer data) {
        if (!memory.tryReserve(body.length(), data.length())) {
            return false;
        }
        body.appendBuffer(data);
        return true;
    }

    /** Bytes of a stream that are kept back while the attempt is not the current one. */
    KeptBackStream keptBack() {
        return keptBack;
    }

    /** Keeps back a copy of bytes that belong before what arrives next. */
    void keepBack(Buffer bytes) {
        keptBack.add(bytes);
    }

    /** Returns the bytes that were kept back and forgets them. */
    Buffer takeKeptBack() {
        Buffer taken = keptBack.bytes();
        keptBack = new KeptBackStream();
        return taken;
    }

    /**
     * Charges what the attempt holds back of an event to the memory budget, instead of what it held
     * back before.
     *
     * @param bytes bytes that are held back now
     * @return false if a memory limit would be exceeded
     */
    boolean holdBack(long bytes) {
        long charge = bytes > UNCHARGED_BYTES ? bytes : 0;
        if (charge > chargedBytes && !memory.tryReserve(chargedBytes, charge - chargedBytes)) {
            return false;
        }
        if (charge < chargedBytes) {
            memory.release(chargedBytes - charge);
        }
        chargedBytes = charge;
        return true;
    }

    /** Tells whether the replica has sent anything, for any request, since this attempt began. */
    boolean replicaRespondedSince() {
        return use.tracker().lastReceivedMillis() >= use.sentAtMillis();
    }

    /** Tells whether the replica has answered a request that was sent after this attempt began. */
    boolean replicaReachedSince() {
        return use.tracker().lastReachedMillis() >= use.sentAtMillis();
    }

    /** Delay until the replica's progress is first checked. */
    long firstCheckMillis() {
        return monitor.firstCheckMillis();
    }

    /** Records that bytes of a stream have arrived. */
    void bytesReceived(boolean completesEvent, long nowMillis) {
        if (monitor != null) {
            monitor.bytesReceived(completesEvent, nowMillis);
        }
    }

    /** Tells why another replica should be tried, empty if this one makes enough progress. */
    Optional<AttemptMonitor.Reason> checkProgress(long nowMillis) {
        long readUntilMillis = Math.max(use.lastResponseAtMillis(), resumedAtMillis);
        return monitor.checkProgress(readUntilMillis, nowMillis);
    }

    /** Tells whether the request may have left this VM. */
    boolean sent() {
        return connection != null && connection.sent();
    }

    /** Tells whether this VM has stopped reading the response. */
    boolean paused() {
        return paused;
    }

    void pause() {
        paused = true;
        connection.pause();
    }

    void resume(long nowMillis) {
        paused = false;
        resumedAtMillis = nowMillis;
        connection.resume();
    }

    /** Closes the connection and releases the load on the replica. */
    void close() {
        ifAtReplica(ReplicaUse::abandoned);
        cancel();
        release();
    }

    /** Closes the connection; nothing is received afterwards. */
    void cancel() {
        if (connection != null) {
            connection.cancel();
        }
    }

    /** Releases the load on the replica and the buffered body. */
    void release() {
        if (released) {
            return;
        }
        released = true;
        if (body != null) {
            memory.release(body.length());
            body = null;
        }
        memory.release(chargedBytes);
        if (use != null) {
            use.release();
        }
    }

    @Override
    public void head(ResponseEnvelope head) {
        owner.received(this, "reading the head of a response", () -> owner.head(this, head));
    }

    @Override
    public void data(Buffer data) {
        owner.received(this, "reading a response", () -> owner.data(this, data));
    }

    @Override
    public void end(boolean framed) {
        owner.received(this, "ending a response", () -> owner.end(this, framed));
    }

    @Override
    public void stalled() {
        owner.received(this, "replacing a silent replica", () -> owner.stalled(this));
    }

    @Override
    public void failed(AttemptOutcome outcome, String cause, long retryAfterMillis) {
        owner.received(
                this,
                "ending an attempt",
                () -> owner.failed(this, outcome, cause, retryAfterMillis));
    }

    /** Records a head that has arrived with what it tells of the replica. */
    void headReceived(ResponseEnvelope head, long nowMillis) {
        progress.headReceived(nowMillis);
        replicaResponded(nowMillis);
        ifAtReplica(
                replica -> {
                    replica.readHead(head);
                    monitor.headReceived(nowMillis);
                });
    }

    /** Records that the replica has sent something. */
    void replicaResponded(long nowMillis) {
        ifAtReplica(replica -> replica.recordReceived(nowMillis));
    }

    /** Runs an action on the use of the replica, if this VM sent the request to one. */
    void ifAtReplica(Consumer<ReplicaUse> action) {
        if (use != null) {
            action.accept(use);
        }
    }

    /** The request that the attempt belongs to. */
    interface Owner {
        /** Runs the reaction to what an attempt has received. */
        void received(RunningAttempt attempt, String step, Runnable reaction);

        void head(RunningAttempt attempt, ResponseEnvelope head);

        void data(RunningAttempt attempt, Buffer data);

        void end(RunningAttempt attempt, boolean framed);

        void stalled(RunningAttempt attempt);

        void failed(
                RunningAttempt attempt,
                AttemptOutcome outcome,
                String cause,
                long retryAfterMillis);
    }
}
