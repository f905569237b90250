package io.vanillapoint.server.traffic;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.RunState;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventSink;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.Upstream;
import io.vanillapoint.api.model.UpstreamId;
import io.vanillapoint.api.model.VmId;
import io.vanillapoint.api.plugin.UsageMeter;
import io.vanillapoint.core.message.HeaderField;
import io.vanillapoint.core.message.KeyOutcome;
import io.vanillapoint.core.message.StoredResponse;
import io.vanillapoint.core.routing.Dispatch;
import io.vanillapoint.core.routing.DispatchQuery;
import io.vanillapoint.server.MonotonicTime;
import io.vanillapoint.server.control.Admission;
import io.vanillapoint.server.control.ControlPlane;
import io.vanillapoint.server.control.RegisteredKey;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Runs one request from admission through its attempts to the response and the settlement of the
 * reserved tokens.
 *
 * <p>Invariants: a request that must not be repeated is retried only if the previous attempt
 * provably did not run; no attempt starts after a part of a response was passed on; a granted
 * admission is finished exactly once. Confined to one event loop.
 */
final class RequestExecution {
    private static final String REGION_HEADER = "x-ran-in-region";
    private static final int MAX_STORED_BYTES = 64 * 1024;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final TrafficContext context;
    private final RunRequest request;
    private final MeteringSink sink;
    private final long startNanos = System.nanoTime();
    private final Promise<Void> completion = Promise.promise();
    private final Set<UpstreamId> triedUpstreams = new HashSet<>();
    private final Set<VmId> triedVms = new HashSet<>();
    private Attempt attempt;
    private Admission admission;
    private int attempts;
    private boolean cancelled;
    private boolean aborting;
    private boolean mayHaveRun;
    private RegisteredKey registeredKey;

    RequestExecution(
            TrafficContext context, RunRequest request, UsageMeter meter, ResponseSink target) {
        this.context = context;
        this.request = request;
        this.sink =
                new MeteringSink(
                        target,
                        meter,
                        context.settings().region(),
                        request.idempotencyKey() != null,
                        this::failUnexpectedly);
    }

    /** Starts the request. The future completes when the request has ended, with any outcome. */
    Future<Void> start() {
        sink.delegate.onClose(this::cancel);
        context.executions().add(this);
        context.retryBudget().recordRequest();
        control()
                .admit(request.customer(), request.plan().tokens(), request.plan().interactive())
                .onSuccess(guarded(this::onAdmitted))
                .onFailure(this::onControlFailed);
        return completion.future();
    }

    /** Aborts the request without a response when the drain timeout of a shutdown has passed. */
    void abort() {
        events().record(EventCode.CUT_AT_SHUTDOWN, request.id());
        aborting = true;
        cancel();
    }

    private void onAdmitted(Admission granted) {
        admission = granted;
        events().record(
                        EventCode.REQUEST_ADMITTED,
                        request.id(),
                        request.customer() == null ? "" : request.customer().id(),
                        request.plan().tokens());
        if (cancelled) {
            finish(0);
            return;
        }
        if (request.idempotencyKey() == null) {
            nextAttempt();
            return;
        }
        control()
                .registerKey(
                        request.customer(),
                        request.idempotencyKey(),
                        request.id(),
                        RequestFingerprint.of(request))
                .onSuccess(guarded(this::onKeyRegistered))
                .onFailure(this::onControlFailed);
    }

    private void onKeyRegistered(RegisteredKey key) {
        registeredKey = key;
        switch (key.decision().action()) {
            case RUN -> nextAttempt();
            case REPLAY -> replay(key.decision().response().orElseThrow());
            case IN_PROGRESS -> refuseKey(ErrorCode.IN_PROGRESS, "another attempt is running");
            case UNKNOWN ->
                    refuseKey(
                            ErrorCode.RUN_UNKNOWN,
                            "an earlier attempt with this key may have run; this one was not");
            case REUSED -> refuseKey(ErrorCode.KEY_REUSED, "the key belongs to another request");
            case UNAVAILABLE ->
                    refuse(
                            VanillapointException.refusal(
                                    ErrorCode.REGISTRY_UNAVAILABLE,
                                    "no VM that remembers the key could be asked",
                                    RETRY_AFTER));
            default -> throw new IllegalStateException("action " + key.decision().action());
        }
    }

    private void refuseKey(ErrorCode code, String message) {
        refuse(new VanillapointException(code, "idempotency-key", message));
    }

    private void replay(StoredResponse response) {
        completeKey(KeyOutcome.NOT_RUN, Optional.empty());
        List<HeaderField> headers =
                List.of(
                        new HeaderField("content-type", response.contentType()),
                        new HeaderField("idempotent-replayed", "true"));
        sink.delegate.head(response.status(), headers);
        sink.delegate.data(Buffer.buffer(response.body()));
        sink.delegate.end();
        finish(0);
    }

    private void completeKey(KeyOutcome outcome, Optional<StoredResponse> response) {
        if (registeredKey != null) {
            control().completeKey(registeredKey, outcome, response);
            registeredKey = null;
        }
    }

    private void nextAttempt() {
        DispatchQuery query =
                new DispatchQuery(
                        request.customer(),
                        request.target(),
                        request.plan().affinityKey(),
                        request.visitedPath(),
                        triedUpstreams,
                        triedVms);
        control()
                .dispatch(request.key(), query, request.plan().tokens())
                .onSuccess(guarded(this::dispatch))
                .onFailure(this::onControlFailed);
    }

    private void dispatch(Dispatch decision) {
        if (cancelled) {
            endCancelled(decision);
            return;
        }
        attempts++;
        if (decision instanceof Dispatch.ToUpstream local) {
            runLocally(local.upstream());
        } else if (decision instanceof Dispatch.ToVm remote) {
            triedVms.add(remote.vm().id());
            record(EventCode.REQUEST_DISPATCHED, remote.vm().id());
            context.metrics().forwarded();
            attempt = context.forwardClient().run(remote.vm(), request, sink);
            observeAttempt(remote.vm().id().value());
        } else if (decision instanceof Dispatch.Unavailable unavailable) {
            refuse(unavailable.refusal());
        }
    }

    /** Ends a request whose caller left while its target was being chosen. */
    private void endCancelled(Dispatch decision) {
        if (decision instanceof Dispatch.ToUpstream local) {
            control()
                    .recordUpstreamCompletion(local.upstream().id(), request.plan().tokens(), true);
        }
        completeKey(mayHaveRun ? KeyOutcome.UNKNOWN : KeyOutcome.NOT_RUN, Optional.empty());
        finish(mayHaveRun ? request.plan().tokens() : 0);
    }

    private void runLocally(Upstream upstream) {
        triedUpstreams.add(upstream.id());
        record(EventCode.REQUEST_DISPATCHED, upstream.id());
        attempt = context.upstreamClient().run(upstream, request, sink);
        attempt.completion()
                .onComplete(
                        done ->
                                control()
                                        .recordUpstreamCompletion(
                                                upstream.id(),
                                                request.plan().tokens(),
                                                done.succeeded() || cancelled));
        observeAttempt(upstream.id().value());
    }

    private void observeAttempt(String target) {
        attempt.completion()
                .onSuccess(guarded(ignored -> onAttemptCompleted(target)))
                .onFailure(guarded(error -> onAttemptFailed(target, VanillapointErrors.of(error))));
        if (cancelled) {
            attempt.cancel();
        }
    }

    private void onAttemptCompleted(String target) {
        if (completion.future().isComplete()) {
            return;
        }
        if (!sink.meter.isComplete()) {
            events().record(EventCode.ANSWER_TRUNCATED, request.id(), target);
            VanillapointException error =
                    new VanillapointException(
                            ErrorCode.UPSTREAM_FAILED,
                            target,
                            "the answer ended without its end marker",
                            RunState.RAN,
                            null);
            completeKey(KeyOutcome.UNKNOWN, Optional.empty());
            sink.delegate.fail(error);
            finish(request.plan().tokens());
            return;
        }
        completeKey(KeyOutcome.ANSWERED, sink.responseToStore());
        context.metrics().recordTimeToFirstByte(sink.headNanos - startNanos);
        context.metrics().recordResponseTime(System.nanoTime() - startNanos);
        sink.delegate.end();
        finish(usedTokens());
    }

    /** Charges a complete response all reserved tokens if its use can't be determined. */
    private long usedTokens() {
        try {
            return sink.meter.usedTokens(request.plan().tokens());
        } catch (Throwable e) {
            recordInternalError(e);
            return request.plan().tokens();
        }
    }

    private void onAttemptFailed(String target, VanillapointException error) {
        if (completion.future().isComplete()) {
            return;
        }
        if (cancelled) {
            completeKey(KeyOutcome.UNKNOWN, Optional.empty());
            finish(request.plan().tokens());
            return;
        }
        boolean notRun = error.runState() == RunState.NOT_RUN;
        mayHaveRun |= !notRun;
        boolean mayRetry = notRun || request.plan().idempotent();
        boolean attemptsRemain = attempts < context.settings().limits().maxAttempts();
        if (mayRetry && !sink.headSent && attemptsRemain && takeRetry()) {
            context.metrics().retried();
            events().record(EventCode.REQUEST_RETRIED, request.id(), target, error.getMessage());
            nextAttempt();
            return;
        }
        if (sink.headSent) {
            events().record(EventCode.ANSWER_TRUNCATED, request.id(), target);
        }
        refuse(error);
    }

    private boolean takeRetry() {
        return context.retryBudget().tryAcquire(MonotonicTime.millis());
    }

    private void onControlFailed(Throwable error) {
        if (!(error instanceof VanillapointException)) {
            recordInternalError(error);
        }
        refuse(VanillapointErrors.of(error));
    }

    private <T> Handler<T> guarded(Handler<T> step) {
        return value -> {
            try {
                step.handle(value);
            } catch (Throwable e) {
                failUnexpectedly(e);
            }
        };
    }

    /** Ends the request, whose caller would get no response otherwise. */
    private void failUnexpectedly(Throwable cause) {
        recordInternalError(cause);
        if (completion.future().isComplete()) {
            return;
        }
        boolean sent = attempt != null && !attempt.completion().failed();
        mayHaveRun |= sent;
        refuse(VanillapointErrors.of(cause).withRunState(RunState.NOT_RUN));
        if (sent) {
            attempt.cancel();
        }
    }

    private void recordInternalError(Throwable cause) {
        events().record(EventCode.INTERNAL_ERROR, "request " + request.id(), cause);
    }

    private void refuse(VanillapointException error) {
        VanillapointException reported =
                mayHaveRun && error.runState() == RunState.NOT_RUN
                        ? error.withRunState(RunState.UNKNOWN)
                        : error;
        boolean ran = mayHaveRun || sink.headSent;
        completeKey(ran ? KeyOutcome.UNKNOWN : KeyOutcome.NOT_RUN, Optional.empty());
        context.metrics().refused(reported.code());
        events().record(EventCode.REQUEST_REFUSED, request.id(), reported.code().code());
        sink.delegate.fail(reported);
        finish(mayHaveRun ? request.plan().tokens() : 0);
    }

    private void cancel() {
        if (cancelled || completion.future().isComplete()) {
            return;
        }
        if (attempt != null && !request.plan().idempotent() && !aborting) {
            return;
        }
        cancelled = true;
        events().record(EventCode.REQUEST_CANCELLED, request.id());
        if (attempt != null) {
            attempt.cancel();
        }
    }

    private void finish(long used) {
        if (admission != null) {
            control().finish(admission, used);
            admission = null;
        }
        context.executions().remove(this);
        if (completion.tryComplete()) {
            events().record(EventCode.REQUEST_DONE, request.id(), sink.status, used);
        }
    }

    private void record(EventCode code, Object target) {
        events().record(code, request.id(), target, attempts);
    }

    private ControlPlane control() {
        return context.control();
    }

    private EventSink events() {
        return context.events();
    }

    /** Passes the response on, feeds it to the usage meter and keeps a copy for replay. */
    private static final class MeteringSink implements ResponseSink {
        private final ResponseSink delegate;
        private final UsageMeter meter;
        private final RegionId region;
        private final Buffer storedBody;
        private final Consumer<Throwable> onMeterError;
        private boolean failed;
        private boolean headSent;
        private long headNanos;
        private int status;
        private String contentType = "";

        private MeteringSink(
                ResponseSink delegate,
                UsageMeter meter,
                RegionId region,
                boolean storeBody,
                Consumer<Throwable> onMeterError) {
            this.onMeterError = onMeterError;
            this.region = region;
            this.delegate = delegate;
            this.meter = meter;
            this.storedBody = storeBody ? Buffer.buffer() : null;
        }

        /** Response to store for the idempotency key; empty if none was kept or it is too large. */
        private Optional<StoredResponse> responseToStore() {
            if (storedBody == null || storedBody.length() > MAX_STORED_BYTES) {
                return Optional.empty();
            }
            return Optional.of(new StoredResponse(status, contentType, storedBody.getBytes()));
        }

        @Override
        public void head(int newStatus, List<HeaderField> headers) {
            headSent = true;
            headNanos = System.nanoTime();
            status = newStatus;
            contentType =
                    headers.stream()
                            .filter(header -> header.name().equalsIgnoreCase("content-type"))
                            .map(HeaderField::value)
                            .findFirst()
                            .orElse("");
            if (metered(() -> meter.onHead(newStatus, contentType))) {
                delegate.head(newStatus, withRegion(headers));
            }
        }

        /** Returns false if the meter failed; nothing is passed on from then on. */
        private boolean metered(Runnable step) {
            if (failed) {
                return false;
            }
            try {
                step.run();
            } catch (Throwable e) {
                failed = true;
                onMeterError.accept(e);
            }
            return !failed;
        }

        /** Adds the region that ran the request, unless another VM has already added it. */
        private List<HeaderField> withRegion(List<HeaderField> headers) {
            if (headers.stream().anyMatch(header -> header.name().equals(REGION_HEADER))) {
                return headers;
            }
            List<HeaderField> extended = new ArrayList<>(headers);
            extended.add(new HeaderField(REGION_HEADER, region.value()));
            return extended;
        }

        @Override
        public void data(Buffer part) {
            if (!metered(() -> meter.onData(part.getBytes()))) {
                return;
            }
            if (storedBody != null && storedBody.length() <= MAX_STORED_BYTES) {
                storedBody.appendBuffer(part);
            }
            delegate.data(part);
        }

        @Override
        public boolean isFull() {
            return delegate.isFull();
        }

        @Override
        public void onDrain(Runnable handler) {
            delegate.onDrain(handler);
        }

        @Override
        public void end() {
            delegate.end();
        }

        @Override
        public void fail(VanillapointException error) {
            delegate.fail(error);
        }

        @Override
        public void onClose(Runnable handler) {
            delegate.onClose(handler);
        }
    }
}
