package io.vanillapoint.entry.traffic;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.core.attempt.AttemptMonitor;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.fleet.TrafficVmSelector;
import io.vanillapoint.core.message.RelayRequest;
import io.vanillapoint.core.published.CustomerSpec;
import io.vanillapoint.core.published.UpstreamReplica;
import io.vanillapoint.core.upstream.Placement;
import io.vanillapoint.core.upstream.ReplicaTracker;
import io.vanillapoint.entry.port.UpstreamCall;
import io.vanillapoint.entry.relay.RelayAttempt;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Sends one request to the replica of this region, or the other VM, that was chosen.
 *
 * <p>Invariant: an attempt has its connection before it receives anything. Confined to one event
 * loop.
 */
final class AttemptStarter {
    /** Margin for the last bytes to reach the caller, subtracted from a replica's deadline. */
    private static final long RESPONSE_MARGIN_MILLIS = 5;

    /** Connecting within a region takes about a millisecond; this allows for one late packet. */
    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    /**
     * Delay from which a send is logged as late; longer than an undelayed connect and one iteration
     * of the event loop.
     */
    private static final long LATE_SEND_MILLIS = 100;

    private final EntryContext context;
    private final RequestPlan plan;

    AttemptStarter(EntryContext context, RequestPlan plan) {
        this.context = context;
        this.plan = plan;
    }

    /** Creates an attempt at a replica, which counts as load on it from now on. */
    RunningAttempt createAtReplica(
            RunningAttempt.Owner owner, Placement.Local placement, long nowMillis) {
        ReplicaUse use =
                new ReplicaUse(
                        context,
                        plan,
                        placement.replica(),
                        placement.uncachedTokens(),
                        placement.expectedMillis(),
                        nowMillis);
        AttemptMonitor monitor = new AttemptMonitor(plan.route(), plan.relayed(), nowMillis);
        return RunningAttempt.atReplica(owner, context.memory(), use, monitor);
    }

    /** Chooses a VM if any will do; further attempts of a request prefer another one. */
    MemberInfo chooseVm(Placement.Relay relay, int attempt, long nowMillis) {
        return relay.vm().orElseGet(() -> anyVm(relay, attempt, nowMillis));
    }

    private MemberInfo anyVm(Placement.Relay relay, int attempt, long nowMillis) {
        List<MemberInfo> vms =
                TrafficVmSelector.sample(
                        context.fleet()
                                .reach()
                                .relayVms(relay.region(), relay.replicas(), nowMillis),
                        ThreadLocalRandom.current()::nextDouble);
        int start = plan.envelope().requestId().hashCode();
        return vms.get(Math.floorMod(start + attempt, vms.size()));
    }

    void sendToReplica(
            Placement.Local placement, OptionalLong resumeAfter, RunningAttempt running) {
        UpstreamReplica replica = placement.replica().info();
        long placedAtMillis = context.clock().getAsLong();
        UpstreamCall call =
                new UpstreamCall(
                        plan.envelope().headers(),
                        replica.id(),
                        plan.customer().map(CustomerSpec::name),
                        remainingMillis(),
                        plan.urgency(plan.rank(context.pool().loadAwareness(), placedAtMillis)),
                        resumeAfter,
                        placement.cacheSource().map(UpstreamReplica::endpoint));
        UpstreamAttempt attempt =
                new UpstreamAttempt(
                        context.format(),
                        context.gate(),
                        call,
                        this::remainingMillis,
                        () -> {
                            boolean accepted = maySend(placement.replica(), placedAtMillis);
                            if (accepted) {
                                running.ifAtReplica(ReplicaUse::awaitResponse);
                            }
                            return accepted;
                        },
                        plan.envelope().requestId(),
                        running);
        running.connection(attempt);
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.valueOf(plan.method()))
                        .setHost(replica.endpoint().host())
                        .setPort(replica.endpoint().port())
                        .setURI(plan.uri())
                        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        attempt.start(context.upstreamClient(), options, plan.body());
    }

    void sendToVm(MemberInfo vm, OptionalLong resumeAfter, RunningAttempt running) {
        context.chooser()
                .relayed(plan.service().name(), vm.region(), vm.vm(), context.clock().getAsLong());
        RelayAttempt attempt =
                new RelayAttempt(
                        context.vertx(),
                        context.format(),
                        () -> remainingMillisAt(vm),
                        () -> context.prompts().maySend(plan),
                        running,
                        millis -> context.chooser().recordRoundTrip(vm.region(), millis));
        running.connection(attempt);
        attempt.start(
                context.vmClient(),
                vm.host(),
                context.peerPort(),
                () -> relayRequest(vm, resumeAfter));
    }

    /** Copies the body, so it is called only when the request is sent. */
    private RelayRequest relayRequest(MemberInfo vm, OptionalLong resumeAfter) {
        return new RelayRequest(
                plan.envelope().requestId(),
                plan.route().name(),
                plan.service().name(),
                plan.customer().map(CustomerSpec::name),
                (int) remainingMillisAt(vm),
                plan.method(),
                plan.uri(),
                context.format().relayHeaders(plan.envelope(), resumeAfter),
                plan.body().getBytes(),
                context.configurationVersion().getAsLong());
    }

    private boolean maySend(ReplicaTracker replica, long placedAtMillis) {
        long now = context.clock().getAsLong();
        long waitedMillis = now - placedAtMillis;
        if (waitedMillis >= LATE_SEND_MILLIS) {
            context.log()
                    .record(
                            EventCode.SENT_LATE,
                            plan.envelope().requestId(),
                            replica.info().id(),
                            waitedMillis);
        }
        return context.pool().maySend(replica, plan.service(), placedAtMillis, now)
                && context.prompts().maySend(plan);
    }

    /**
     * Time left for another VM, so that its refusal of a request that it has not sent arrives here
     * before the deadline; a later response would be too late for the caller.
     */
    private long remainingMillisAt(MemberInfo vm) {
        return remainingMillis() - (long) context.chooser().roundTripMillis(vm.region());
    }

    /** Time left until the deadline, less the margin for the response. */
    private long remainingMillis() {
        return plan.deadlineMillis() - context.clock().getAsLong() - RESPONSE_MARGIN_MILLIS;
    }
}
