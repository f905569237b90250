package io.vanillapoint.server.traffic;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.RunState;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventSink;
import io.vanillapoint.api.model.Upstream;
import io.vanillapoint.api.model.UpstreamId;
import io.vanillapoint.api.model.VmId;
import io.vanillapoint.api.plugin.UsageMeter;
import io.vanillapoint.core.message.HeaderField;
import io.vanillapoint.core.routing.Dispatch;
import io.vanillapoint.core.routing.DispatchQuery;
import io.vanillapoint.server.control.Admission;
import io.vanillapoint.server.control.ControlPlane;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Runs one request to its end: admission, attempts, answer, settlement.
 *
 * <p>Invariants: a request that may not be repeated gets another attempt only after one that
 * provably did not run; no attempt follows once a part of an answer has been passed on; the
 * admission is ended once. Confined to one event loop.
 */
final class RequestExecution {
    private final TrafficContext context;
    private final RunRequest request;
    private final MeteredSink sink;
    private final Promise<Void> ended = Promise.promise();
    private final Set<UpstreamId> triedUpstreams = new HashSet<>();
    private final Set<VmId> triedVms = new HashSet<>();
    private Attempt attempt;
    private Admission admission;
    private int attempts;
    private boolean cancelled;
    private boolean mayHaveRun;

    RequestExecution(
            TrafficContext context, RunRequest request, UsageMeter meter, AnswerSink target) {
        this.context = context;
        this.request = request;
        this.sink = new MeteredSink(target, meter);
    }

    /** Starts. The future completes when nothing of the request is left, whatever came of it. */
    Future<Void> start() {
        sink.target.onClose(this::cancel);
        context.executions().add(this);
        control()
                .admit(request.customer(), request.plan().tokens(), request.plan().interactive())
                .onSuccess(this::admitted)
                .onFailure(error -> refuse(VanillapointErrors.of(error)));
        return ended.future();
    }

    /** Ends the request without an answer, at the limit of a shutdown. */
    void cut() {
        events().record(EventCode.CUT_AT_SHUTDOWN, request.id());
        cancel();
    }

    private void admitted(Admission granted) {
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
        nextAttempt();
    }

    private void nextAttempt() {
        DispatchQuery query =
                new DispatchQuery(
                        request.customer(),
                        request.target(),
                        request.plan().affinityKey(),
                        request.path(),
                        triedUpstreams,
                        triedVms);
        control()
                .dispatch(request.key(), query, request.plan().tokens())
                .onSuccess(this::dispatch)
                .onFailure(error -> refuse(VanillapointErrors.of(error)));
    }

    private void dispatch(Dispatch chosen) {
        attempts++;
        if (chosen instanceof Dispatch.ToUpstream local) {
            runHere(local.upstream());
        } else if (chosen instanceof Dispatch.ToVm remote) {
            triedVms.add(remote.vm().id());
            record(EventCode.REQUEST_DISPATCHED, remote.vm().id());
            attempt = context.forwards().run(remote.vm(), request, sink);
            follow(remote.vm().id().value());
        } else if (chosen instanceof Dispatch.Nowhere nowhere) {
            refuse(nowhere.refusal());
        }
    }

    private void runHere(Upstream upstream) {
        triedUpstreams.add(upstream.id());
        if (cancelled) {
            control().upstreamEnded(upstream.id(), request.plan().tokens(), true);
            finish(0);
            return;
        }
        record(EventCode.REQUEST_DISPATCHED, upstream.id());
        attempt = context.upstreams().run(upstream, request, sink);
        attempt.done()
                .onComplete(
                        done ->
                                control()
                                        .upstreamEnded(
                                                upstream.id(),
                                                request.plan().tokens(),
                                                done.succeeded() || cancelled));
        follow(upstream.id().value());
    }

    private void follow(String target) {
        attempt.done()
                .onSuccess(nothing -> answered(target))
                .onFailure(error -> attemptFailed(target, VanillapointErrors.of(error)));
        if (cancelled) {
            attempt.cancel();
        }
    }

    private void answered(String target) {
        if (!sink.meter.isWhole()) {
            events().record(EventCode.ANSWER_TRUNCATED, request.id(), target);
            VanillapointException error =
                    new VanillapointException(
                            ErrorCode.UPSTREAM_FAILED,
                            target,
                            "the answer ended without its end marker",
                            RunState.RAN,
                            null);
            sink.target.fail(error);
            finish(request.plan().tokens());
            return;
        }
        sink.target.end();
        finish(sink.meter.usedTokens(request.plan().tokens()));
    }

    private void attemptFailed(String target, VanillapointException error) {
        if (cancelled) {
            finish(request.plan().tokens());
            return;
        }
        boolean notRun = error.runState() == RunState.NOT_RUN;
        mayHaveRun |= !notRun;
        boolean mayRetry = notRun || request.plan().repeatable();
        if (mayRetry && !sink.headPassed && attempts < context.settings().limits().maxAttempts()) {
            events().record(EventCode.REQUEST_RETRIED, request.id(), target, error.getMessage());
            nextAttempt();
            return;
        }
        if (sink.headPassed) {
            events().record(EventCode.ANSWER_TRUNCATED, request.id(), target);
        }
        refuse(error);
    }

    private void refuse(VanillapointException error) {
        VanillapointException told =
                mayHaveRun && error.runState() == RunState.NOT_RUN
                        ? error.withRunState(RunState.UNKNOWN)
                        : error;
        events().record(EventCode.REQUEST_REFUSED, request.id(), told.code().code());
        sink.target.fail(told);
        finish(mayHaveRun ? request.plan().tokens() : 0);
    }

    private void cancel() {
        if (cancelled || ended.future().isComplete()) {
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
        if (ended.tryComplete()) {
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

    /** Passes the answer on and lets the meter follow it. */
    private static final class MeteredSink implements AnswerSink {
        private final AnswerSink target;
        private final UsageMeter meter;
        private boolean headPassed;
        private int status;

        private MeteredSink(AnswerSink target, UsageMeter meter) {
            this.target = target;
            this.meter = meter;
        }

        @Override
        public void head(int newStatus, List<HeaderField> headers) {
            headPassed = true;
            status = newStatus;
            String type =
                    headers.stream()
                            .filter(header -> header.name().equalsIgnoreCase("content-type"))
                            .map(HeaderField::value)
                            .findFirst()
                            .orElse("");
            meter.head(newStatus, type);
            target.head(newStatus, headers);
        }

        @Override
        public void data(Buffer part) {
            meter.data(part.getBytes());
            target.data(part);
        }

        @Override
        public boolean isFull() {
            return target.isFull();
        }

        @Override
        public void onDrain(Runnable handler) {
            target.onDrain(handler);
        }

        @Override
        public void end() {
            target.end();
        }

        @Override
        public void fail(VanillapointException error) {
            target.fail(error);
        }

        @Override
        public void onClose(Runnable handler) {
            target.onClose(handler);
        }
    }
}
