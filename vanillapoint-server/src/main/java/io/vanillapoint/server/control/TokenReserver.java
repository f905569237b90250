package io.vanillapoint.server.control;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventSink;
import io.vanillapoint.api.model.Customer;
import io.vanillapoint.api.model.CustomerId;
import io.vanillapoint.api.model.GatewayConfig;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.Vm;
import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.hash.Rendezvous;
import io.vanillapoint.core.limit.RegionAuthority;
import io.vanillapoint.core.limit.ReserveOutcome;
import io.vanillapoint.core.limit.Settlement;
import io.vanillapoint.core.limit.SharePolicy;
import io.vanillapoint.core.limit.TokenGather;
import io.vanillapoint.core.limit.TokenGather.Ask;
import io.vanillapoint.core.limit.TokenGather.Part;
import io.vanillapoint.core.message.PeerMessage;
import io.vanillapoint.core.message.ReservePurpose;
import io.vanillapoint.core.message.ReserveReply;
import io.vanillapoint.core.message.ReserveRequest;
import io.vanillapoint.core.message.Settle;
import io.vanillapoint.core.time.ClockReading;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Reserves tokens for this VM's requests, from this VM or from others, and returns the unused ones.
 *
 * <p>Invariant: a reservation is settled once. Confined to the control thread.
 */
final class TokenReserver {
    private static final long TRANSFER_MILLIS = 2_000;

    private final Vertx vertx;
    private final VmId self;
    private final RegionId region;
    private final SharePolicy policy;
    private final long peerMillis;
    private final long rateWaitMillis;
    private final RegionAuthority authority;
    private final Supplier<ClockReading> clock;
    private final BiConsumer<VmId, PeerMessage> send;
    private final Predicate<Vm> isReachable;
    private final Map<Long, Pending> pending = new HashMap<>();
    private final Map<Long, CustomerId> transfers = new HashMap<>();
    private final Supplier<GatewayConfig> config;
    private final EventSink events;
    private long nextId;

    TokenReserver(
            Vertx vertx,
            ControlIdentity identity,
            RegionAuthority authority,
            Supplier<ClockReading> clock,
            BiConsumer<VmId, PeerMessage> send,
            Predicate<Vm> isReachable,
            Supplier<GatewayConfig> config,
            EventSink events) {
        this.vertx = vertx;
        this.self = identity.vm();
        this.region = identity.region();
        this.policy = identity.sharePolicy();
        this.peerMillis = identity.peerMillis();
        this.nextId = identity.firstExchange();
        this.authority = authority;
        this.clock = clock;
        this.send = send;
        this.isReachable = isReachable;
        this.config = config;
        this.events = events;
        this.rateWaitMillis = identity.rateWaitMillis();
    }

    /** Reserves tokens. Fails with a refusal that says when to retry. */
    Future<List<Part>> reserve(Customer customer, long tokens) {
        if (tokens <= 0) {
            return Future.succeededFuture(List.of());
        }
        if (tokens > customer.grant().burst()) {
            String text = "needs " + tokens + " tokens, the burst is " + customer.grant().burst();
            return Future.failedFuture(
                    new VanillapointException(ErrorCode.OVER_BURST, "request", text));
        }
        TokenGather gather =
                new TokenGather(
                        customer.id(),
                        tokens,
                        customer.grant().ratePerSecond(),
                        () -> laterSources(customer),
                        () -> nextId++);
        Promise<List<Part>> promise = Promise.promise();
        begin(gather, promise);
        return promise.future();
    }

    /** Returns the tokens that a request did not use. */
    void settle(List<Part> parts, double used) {
        Settlement.unused(parts, used).forEach(this::giveBack);
    }

    /** Handles a reservation request from another VM. */
    ReserveReply answer(VmId from, ReserveRequest request) {
        ClockReading now = clock.get();
        if (request.purpose() == ReservePurpose.TRANSFER) {
            double given = authority.giveAway(now, request.customer(), request.tokens());
            return new ReserveReply(request.id(), given, 0, 0);
        }
        ReserveOutcome outcome =
                authority.reserve(now, from, request.id(), request.customer(), request.tokens());
        transfer(request.customer());
        return new ReserveReply(
                request.id(), outcome.granted(), outcome.retryAfterMillis(), outcome.share());
    }

    /** Handles the reply to a reservation request. */
    void answer(ReserveReply reply) {
        CustomerId transferred = transfers.remove(reply.id());
        if (transferred != null) {
            authority.endTransfer(clock.get(), transferred, reply.granted());
            return;
        }
        Pending waiting = pending.remove(reply.id());
        if (waiting != null) {
            run(
                    waiting.gather,
                    waiting.gather.answer(reply.id(), reply.granted(), reply.share()),
                    waiting.promise);
        }
    }

    private void begin(TokenGather gather, Promise<List<Part>> promise) {
        VmId first = authority.home(gather.customer()).orElse(self);
        run(gather, gather.start(first), promise);
    }

    private void run(TokenGather gather, List<Ask> asks, Promise<List<Part>> promise) {
        for (Ask ask : asks) {
            if (ask.to().equals(self)) {
                ReserveOutcome outcome = reserveHere(ask.id(), ask.customer(), ask.tokens());
                run(gather, gather.answer(ask.id(), outcome.granted(), outcome.share()), promise);
            } else {
                pending.put(ask.id(), new Pending(gather, promise));
                send.accept(
                        ask.to(),
                        new ReserveRequest(
                                ask.id(), ask.customer(), ask.tokens(), ReservePurpose.REQUEST));
                vertx.setTimer(peerMillis, timer -> noAnswer(ask.id()));
            }
        }
        finish(gather, promise);
    }

    private ReserveOutcome reserveHere(long id, CustomerId customer, double tokens) {
        ReserveOutcome outcome = authority.reserve(clock.get(), self, id, customer, tokens);
        transfer(customer);
        return outcome;
    }

    /** Requests tokens from another region before this VM's bucket runs out. */
    private void transfer(CustomerId name) {
        Customer customer = config.get().customers().get(name);
        if (customer == null || !policy.givesLeases()) {
            return;
        }
        List<VmId> sources = laterSources(customer);
        if (sources.isEmpty()) {
            return;
        }
        double wanted = authority.planTransfer(clock.get(), name);
        if (wanted > 0) {
            long id = nextId++;
            VmId source = sources.get((int) Math.floorMod(id, (long) sources.size()));
            transfers.put(id, name);
            send.accept(source, new ReserveRequest(id, name, wanted, ReservePurpose.TRANSFER));
            vertx.setTimer(TRANSFER_MILLIS, timer -> transfers.remove(id));
        }
    }

    private void noAnswer(long id) {
        Pending waiting = pending.remove(id);
        if (waiting != null) {
            run(waiting.gather, waiting.gather.noAnswer(id), waiting.promise);
        }
    }

    private void finish(TokenGather gather, Promise<List<Part>> promise) {
        gather.takeSurplus().forEach(this::giveBack);
        if (gather.state() == TokenGather.State.GRANTED) {
            promise.tryComplete(gather.parts());
        } else if (gather.takeRefusal()) {
            refuse(gather, promise);
        }
    }

    private void refuse(TokenGather gather, Promise<List<Part>> promise) {
        OptionalLong wait = gather.waitBeforeAgain(rateWaitMillis);
        if (wait.isPresent()) {
            vertx.setTimer(wait.getAsLong(), timer -> begin(gather.again(), promise));
            return;
        }
        ErrorCode code =
                gather.isShareFound() ? ErrorCode.RATE_EXCEEDED : ErrorCode.RATE_UNAVAILABLE;
        events.record(
                EventCode.RATE_REFUSED, gather.customer(), gather.tokens(), gather.gathered());
        Duration retryAfter = Duration.ofMillis(gather.retryAfterMillis());
        promise.tryFail(
                VanillapointException.refusal(
                        code, "rate and burst leave no room now", retryAfter));
    }

    private void giveBack(Part part) {
        if (part.source().equals(self)) {
            authority.settle(clock.get(), self, part.id(), part.tokens());
        } else {
            send.accept(part.source(), new Settle(part.id(), part.tokens()));
        }
    }

    /** VMs to ask for the tokens that the customer's home in this region can't provide. */
    private List<VmId> laterSources(Customer customer) {
        if (!policy.asksOthers()) {
            return List.of();
        }
        List<VmId> sources = new ArrayList<>();
        for (RegionId permitted : customer.regionWeights().keySet()) {
            List<Vm> vms = vms(permitted);
            if (policy.givesLeases()) {
                if (!permitted.equals(region)) {
                    home(customer, vms).ifPresent(vm -> sources.add(vm.id()));
                }
            } else {
                vms.forEach(vm -> sources.add(vm.id()));
            }
        }
        sources.remove(self);
        return sources;
    }

    private List<Vm> vms(RegionId where) {
        return config.get().vms().values().stream()
                .filter(vm -> vm.region().equals(where) && vm.state().takesNewWork())
                .filter(isReachable)
                .toList();
    }

    private static Optional<Vm> home(Customer customer, List<Vm> vms) {
        return Rendezvous.pick(customer.id().value(), vms, vm -> vm.id().value());
    }

    /** A reservation request that waits for its reply. */
    private record Pending(TokenGather gather, Promise<List<Part>> promise) {}
}
