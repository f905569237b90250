package io.vanillapoint.server.control;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.VanillapointException;
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
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Reserves tokens for requests of this VM, at this VM or at others, and gives unused ones back.
 *
 * <p>Invariant: a reservation is settled once. Confined to the control thread.
 */
final class TokenReserver {
    private final Vertx vertx;
    private final VmId self;
    private final RegionId region;
    private final SharePolicy policy;
    private final long peerMillis;
    private final RegionAuthority authority;
    private final Supplier<ClockReading> clock;
    private final BiConsumer<VmId, PeerMessage> send;
    private final Predicate<Vm> isReachable;
    private final Map<Long, Pending> pending = new HashMap<>();
    private long nextId;

    TokenReserver(
            Vertx vertx,
            ControlIdentity identity,
            RegionAuthority authority,
            Supplier<ClockReading> clock,
            BiConsumer<VmId, PeerMessage> send,
            Predicate<Vm> isReachable) {
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
    }

    /** Reserves tokens; fails with a refusal that tells when to come back. */
    Future<List<Part>> reserve(GatewayConfig config, Customer customer, long tokens) {
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
                        laterSources(config, customer),
                        () -> nextId++);
        Promise<List<Part>> promise = Promise.promise();
        VmId first = authority.home(customer.id()).orElse(self);
        run(gather, gather.start(first), promise);
        return promise.future();
    }

    /** Gives back what a request did not use. */
    void settle(List<Part> parts, double used) {
        Settlement.unused(parts, used).forEach(this::giveBack);
    }

    /** Takes the answer to an ask. */
    void answer(ReserveReply reply) {
        Pending waiting = pending.remove(reply.id());
        if (waiting != null) {
            run(
                    waiting.gather,
                    waiting.gather.answer(reply.id(), reply.granted(), reply.share()),
                    waiting.promise);
        }
    }

    private void run(TokenGather gather, List<Ask> asks, Promise<List<Part>> promise) {
        for (Ask ask : asks) {
            if (ask.to().equals(self)) {
                ReserveOutcome outcome = reserveHere(ask.id(), ask.customer(), ask.tokens());
                run(gather, gather.answer(ask.id(), outcome.granted(), outcome.share()), promise);
            } else {
                pending.put(ask.id(), new Pending(gather, promise));
                send.accept(
                        ask.to(), new ReserveRequest(ask.id(), ask.customer(), ask.tokens(), true));
                vertx.setTimer(peerMillis, timer -> noAnswer(ask.id()));
            }
        }
        finish(gather, promise);
    }

    private ReserveOutcome reserveHere(long id, CustomerId customer, double tokens) {
        return authority.reserve(clock.get(), self, id, customer, tokens, true);
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
        } else if (gather.state() == TokenGather.State.REFUSED) {
            ErrorCode code =
                    gather.isShareFound() ? ErrorCode.RATE_EXCEEDED : ErrorCode.RATE_UNAVAILABLE;
            Duration wait = Duration.ofMillis(gather.retryAfterMillis());
            promise.tryFail(
                    VanillapointException.refusal(code, "rate and burst leave no room now", wait));
        }
    }

    private void giveBack(Part part) {
        if (part.source().equals(self)) {
            authority.settle(clock.get(), self, part.id(), part.tokens());
        } else {
            send.accept(part.source(), new Settle(part.id(), part.tokens()));
        }
    }

    /** VMs to ask for what the customer's home in this region lacks. */
    private List<VmId> laterSources(GatewayConfig config, Customer customer) {
        if (!policy.asksOthers()) {
            return List.of();
        }
        List<VmId> sources = new ArrayList<>();
        for (RegionId permitted : customer.regionWeights().keySet()) {
            List<Vm> vms = vms(config, permitted);
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

    private List<Vm> vms(GatewayConfig config, RegionId where) {
        return config.vms().values().stream()
                .filter(vm -> vm.region().equals(where) && vm.state().takesNewWork())
                .filter(isReachable)
                .toList();
    }

    private static Optional<Vm> home(Customer customer, List<Vm> vms) {
        return Rendezvous.pick(customer.id().value(), vms, vm -> vm.id().value());
    }

    /** A question without an answer yet. */
    private record Pending(TokenGather gather, Promise<List<Part>> promise) {}
}
