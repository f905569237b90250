package io.vanillapoint.entry.relay;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.RunState;
import io.vanillapoint.core.attempt.AttemptOutcome;
import io.vanillapoint.core.message.ForwardCredit;
import io.vanillapoint.core.message.ForwardData;
import io.vanillapoint.core.message.ForwardEnd;
import io.vanillapoint.core.message.ForwardFailure;
import io.vanillapoint.core.message.ForwardHead;
import io.vanillapoint.core.message.ForwardStalled;
import io.vanillapoint.core.message.HeaderField;
import io.vanillapoint.core.message.PeerMessage;
import io.vanillapoint.core.message.RelayRequest;
import io.vanillapoint.entry.port.RequestFormat;
import io.vanillapoint.entry.traffic.AttemptListener;
import io.vanillapoint.entry.traffic.HttpAttempt;
import io.vanillapoint.entry.traffic.PromptGuard;
import io.vanillapoint.entry.traffic.Refusal;
import io.vanillapoint.wire.FleetCodec;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Relays a request to another VM. Confined to one event loop. */
public final class RelayAttempt extends HttpAttempt {
    private static final FleetCodec CODEC = new FleetCodec();

    static final String PATH = "/relay";

    /** Query that asks for frames in fixed intervals. VMs of earlier builds ignore it. */
    static final String KEEP_ALIVE = "keep-alive";

    /**
     * Number of intervals without a frame after which a connection counts as silent. They are
     * counted rather than measured, since a VM that is behind runs a timer before it reads.
     */
    private static final int SILENT_INTERVALS = 3;

    /**
     * Wait for the acknowledgement of a request before another attempt is made beside it: allows
     * for one round trip between regions, a lost packet and a busy VM.
     */
    private static final long ACKNOWLEDGEMENT_TIMEOUT_MILLIS = 700;

    private final Vertx vertx;
    private final RequestFormat format;
    private final LongSupplier remainingMillis;
    private final BooleanSupplier maySend;
    private final LongConsumer acknowledgementListener;
    private long acknowledgementTimer = -1;
    private long sentAtNanos;
    private boolean headReceived;
    private long receivedBytes;
    private boolean acknowledged;
    private int intervalsWithoutFrame;

    /**
     * Creates an attempt that has not been sent.
     *
     * @param vertx event loop, used for timers
     * @param format parser of the response's head
     * @param remainingMillis supplies the time left for the request, in milliseconds
     * @param maySend tells whether the request may still be sent
     * @param listener receives the response or the failure
     * @param acknowledgementListener called with the time from sending the request to its
     *     acknowledgement by the other VM, in milliseconds
     */
    public RelayAttempt(
            Vertx vertx,
            RequestFormat format,
            LongSupplier remainingMillis,
            BooleanSupplier maySend,
            AttemptListener listener,
            LongConsumer acknowledgementListener) {
        super(listener);
        this.vertx = vertx;
        this.format = format;
        this.remainingMillis = remainingMillis;
        this.maySend = maySend;
        this.acknowledgementListener = acknowledgementListener;
    }

    /**
     * Connects and sends the request.
     *
     * @param client client with a pool of connections to other VMs
     * @param host IP address of the VM
     * @param port its peer port
     * @param relayed supplies the request once there is a connection; it has a copy of the body
     */
    public void start(HttpClient client, String host, int port, Supplier<RelayRequest> relayed) {
        RequestOptions target =
                new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setHost(host)
                        .setPort(port)
                        .setURI(PATH + "?" + KEEP_ALIVE);
        client.request(target)
                .onComplete(
                        connected -> {
                            if (connected.failed()) {
                                fail(AttemptOutcome.NOT_SENT, connected.cause().getMessage(), 0);
                            } else {
                                guarded("sending", () -> send(connected.result(), relayed));
                            }
                        });
    }

    @Override
    protected void releaseResources() {
        stopTimer();
    }

    private void send(HttpClientRequest connected, Supplier<RelayRequest> relayed) {
        requestOpened(connected);
        long remaining = remainingMillis.getAsLong();
        if (done() || remaining <= 0) {
            // The request's deadline timer refuses the request, which has not run.
            reset();
            return;
        }
        if (!maySend.getAsBoolean()) {
            reset();
            fail(AttemptOutcome.WITHHELD, "prompt is withheld", 0);
            return;
        }
        sentAtNanos = System.nanoTime();
        startAcknowledgementTimer();
        connected
                .response()
                .onComplete(
                        answered -> {
                            if (answered.failed()) {
                                failResponse(answered.cause());
                            } else {
                                guarded(
                                        "reading the response",
                                        () -> readResponse(answered.result()));
                            }
                        });
        RelayRequest message = relayed.get().withRemainingMillis((int) remaining);
        Buffer body = Buffer.buffer(CODEC.encode(message));
        sending();
        connected.end(body);
    }

    private void readResponse(HttpClientResponse response) {
        responseStarted(response);
        if (done()) {
            return;
        }
        FrameReader frames = new FrameReader(this::handleMessage);
        response.endHandler(
                ignored ->
                        fail(
                                AttemptOutcome.LOST,
                                "relay response ended before the end-of-answer frame",
                                0));
        response.handler(
                data -> {
                    try {
                        frames.read(data);
                    } catch (Throwable e) {
                        fail(AttemptOutcome.LOST, String.valueOf(e), 0);
                        reset();
                    }
                });
    }

    private void handleMessage(PeerMessage message) {
        if (done()) {
            return;
        }
        intervalsWithoutFrame = 0;
        if (message instanceof ForwardCredit credit) {
            if (!acknowledged) {
                acknowledged(credit.bytes());
            }
        } else if (message instanceof ForwardHead head) {
            headReceived = true;
            MultiMap headers = MultiMap.caseInsensitiveMultiMap();
            for (HeaderField header : head.headers()) {
                headers.add(header.name(), header.value());
            }
            listener().head(format.response(head.status(), headers));
        } else if (message instanceof ForwardData data) {
            receivedBytes += data.bytes().length;
            if (headReceived) {
                listener().data(Buffer.buffer(data.bytes()));
            }
        } else if (message instanceof ForwardStalled) {
            listener().stalled();
        } else if (message instanceof ForwardEnd end) {
            end(end);
        } else if (message instanceof ForwardFailure failure) {
            fail(outcome(failure), failure.message(), failure.retryAfterMillis());
        }
    }

    private void end(ForwardEnd end) {
        if (headReceived && end.bytes() == receivedBytes) {
            succeed(true);
            return;
        }
        String expected = "expected a head and " + end.bytes() + " bytes, got " + receivedBytes;
        fail(AttemptOutcome.LOST, "relay response: " + expected, 0);
    }

    /** A VM of an earlier build tells no interval and sends no frames in between. */
    private void acknowledged(long keepAliveMillis) {
        acknowledged = true;
        stopTimer();
        if (keepAliveMillis > 0) {
            startSilenceTimer(keepAliveMillis);
        }
        acknowledgementListener.accept((System.nanoTime() - sentAtNanos) / 1_000_000);
    }

    /** The request stays open, as without an acknowledgement. */
    private void startSilenceTimer(long keepAliveMillis) {
        acknowledgementTimer =
                vertx.setTimer(
                        keepAliveMillis,
                        ignored -> {
                            startSilenceTimer(keepAliveMillis);
                            intervalsWithoutFrame = paused() ? 0 : intervalsWithoutFrame + 1;
                            if (intervalsWithoutFrame > SILENT_INTERVALS) {
                                intervalsWithoutFrame = 0;
                                listener().stalled();
                            }
                        });
    }

    /** A request whose response has begun has run, whatever the failure states. */
    private AttemptOutcome outcome(ForwardFailure failure) {
        if (headReceived || failure.runState() != RunState.NOT_RUN) {
            return AttemptOutcome.LOST;
        }
        if (failure.message().equals(PromptGuard.REASON)) {
            return AttemptOutcome.QUARANTINED;
        }
        if (RelayHandler.isOtherConfiguration(failure.message())) {
            return AttemptOutcome.NOT_PERMITTED;
        }
        boolean attempted = failure.code() != ErrorCode.NO_UPSTREAM;
        if (!attempted && Refusal.isExpired(failure.message())) {
            return AttemptOutcome.WITHHELD;
        }
        return attempted ? AttemptOutcome.REJECTED : AttemptOutcome.NOT_PLACED;
    }

    /** The other VM may only be busy, so the request stays open until another attempt is kept. */
    private void acknowledgementTimedOut() {
        startAcknowledgementTimer();
        listener().stalled();
    }

    private void startAcknowledgementTimer() {
        acknowledgementTimer =
                vertx.setTimer(
                        ACKNOWLEDGEMENT_TIMEOUT_MILLIS, ignored -> acknowledgementTimedOut());
    }

    private void stopTimer() {
        if (acknowledgementTimer >= 0) {
            vertx.cancelTimer(acknowledgementTimer);
            acknowledgementTimer = -1;
        }
    }
}
