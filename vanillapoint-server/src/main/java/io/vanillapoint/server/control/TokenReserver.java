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
import io.vanillapoint.core.limit.TokenAcquisition;
import io.vanillapoint.core.limit.TokenAcquisition.ReservationRequest;
import io.vanillapoint.core.limit.TokenAcquisition.VmReservation;
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
    private static final long TRANSFER_TIMEOUT_MILLIS = 2_000;

    private final Vertx vertx;
    private final VmId self;
    private final RegionId region;
    private final SharePolicy policy;
    private final long peerTimeoutMillis;
    private final long rateWaitMillis;
    private final RegionAuthority authority;
    private final Supplier<ClockReading> clock;
    private final BiConsumer<VmId, PeerMessage> send;
    private final Predicate<Vm> isReachable;
    private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
    private final Map<Long, CustomerId> pendingTransfers = new HashMap<>();
    private final Supplier<GatewayConfig> config;
    private final EventSink events;
    private long nextExchangeId;

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
        this.peerTimeoutMillis = identity.peerTimeoutMillis();
        this.nextExchangeId = identity.firstExchangeId();
        this.authority = authority;
        this.clock = clock;
        this.send = send;
        this.isReachable = isReachable;
        this.config = config;
        this.events = events;
        this.rateWaitMillis = identity.rateWaitMillis();
    }

    /** Reserves tokens. Fails with a refusal that says when to retry. */
    Future<List<VmReservation>> reserve(Customer customer, long tokens) {
        if (tokens <= 0) {
            return Future.succeededFuture(List.of());
        }
        if (tokens > customer.grant().burst()) {
            String text = "needs " + tokens + " tokens, the burst is " + customer.grant().burst();
            return Future.failedFuture(
                    new VanillapointException(ErrorCode.OVER_BURST, "request", text));
        }
        TokenAcquisition acquisition =
                new TokenAcquisition(
                        customer.id(),
                        tokens,
                        customer.grant().ratePerSecond(),
                        () -> fallbackSources(customer),
                        () -> nextExchangeId++);
        Promise<List<VmReservation>> promise = Promise.promise();
        startAcquisition(acquisition, promise);
        return promise.future();
    }

    /** Returns the tokens that a request did not use. */
    void settle(List<VmReservation> reservations, double used) {
        Settlement.unused(reservations, used).forEach(this::returnTokens);
    }

    /** Handles a reservation request from another VM. */
    ReserveReply handleRequest(VmId from, ReserveRequest request) {
        ClockReading now = clock.get();
        if (request.purpose() == ReservePurpose.TRANSFER) {
            double granted = authority.takeSurplus(now, request.customer(), request.tokens());
            return new ReserveReply(request.id(), granted, 0, 0);
        }
        ReserveOutcome outcome =
                authority.reserve(now, from, request.id(), request.customer(), request.tokens());
        requestTransfer(request.customer());
        return new ReserveReply(
                request.id(), outcome.granted(), outcome.retryAfterMillis(), outcome.share());
    }

    /** Handles the reply to a reservation request. */
    void handleReply(ReserveReply reply) {
        CustomerId transferCustomer = pendingTransfers.remove(reply.id());
        if (transferCustomer != null) {
            authority.completeTransfer(clock.get(), transferCustomer, reply.id(), reply.granted());
            return;
        }
        PendingRequest pendingRequest = pendingRequests.remove(reply.id());
        if (pendingRequest != null) {
            sendRequests(
                    pendingRequest.acquisition,
                    pendingRequest.acquisition.onReply(reply.id(), reply.granted(), reply.share()),
                    pendingRequest.promise);
        }
    }

    private void startAcquisition(
            TokenAcquisition acquisition, Promise<List<VmReservation>> promise) {
        VmId first = authority.home(acquisition.customer()).orElse(self);
        sendRequests(acquisition, acquisition.start(first), promise);
    }

    private void sendRequests(
            TokenAcquisition acquisition,
            List<ReservationRequest> requests,
            Promise<List<VmReservation>> promise) {
        for (ReservationRequest request : requests) {
            if (request.to().equals(self)) {
                ReserveOutcome outcome =
                        reserveLocally(request.id(), request.customer(), request.tokens());
                sendRequests(
                        acquisition,
                        acquisition.onReply(request.id(), outcome.granted(), outcome.share()),
                        promise);
            } else {
                pendingRequests.put(request.id(), new PendingRequest(acquisition, promise));
                send.accept(
                        request.to(),
                        new ReserveRequest(
                                request.id(),
                                request.customer(),
                                request.tokens(),
                                ReservePurpose.REQUEST));
                vertx.setTimer(peerTimeoutMillis, timer -> onReplyTimeout(request.id()));
            }
        }
        completeIfDecided(acquisition, promise);
    }

    private ReserveOutcome reserveLocally(long id, CustomerId customer, double tokens) {
        ReserveOutcome outcome = authority.reserve(clock.get(), self, id, customer, tokens);
        requestTransfer(customer);
        return outcome;
    }

    /** Requests tokens from another region before this VM's bucket runs out. */
    private void requestTransfer(CustomerId customerId) {
        Customer customer = config.get().customers().get(customerId);
        if (customer == null || !policy.grantsLeases()) {
            return;
        }
        List<VmId> sources = fallbackSources(customer);
        if (sources.isEmpty()) {
            return;
        }
        long id = nextExchangeId++;
        double wanted = authority.startTransfer(clock.get(), customerId, id);
        if (wanted > 0) {
            VmId source = sources.get((int) Math.floorMod(id, (long) sources.size()));
            pendingTransfers.put(id, customerId);
            send.accept(
                    source, new ReserveRequest(id, customerId, wanted, ReservePurpose.TRANSFER));
            vertx.setTimer(TRANSFER_TIMEOUT_MILLIS, timer -> pendingTransfers.remove(id));
        }
    }

    private void onReplyTimeout(long id) {
        PendingRequest pendingRequest = pendingRequests.remove(id);
        if (pendingRequest != null) {
            sendRequests(
                    pendingRequest.acquisition,
                    pendingRequest.acquisition.onTimeout(id),
                    pendingRequest.promise);
        }
    }

    private void completeIfDecided(
            TokenAcquisition acquisition, Promise<List<VmReservation>> promise) {
        acquisition.takeReservationsToReturn().forEach(this::returnTokens);
        if (acquisition.state() == TokenAcquisition.State.GRANTED) {
            promise.tryComplete(acquisition.reservations());
        } else if (acquisition.takeRefusal()) {
            retryOrRefuse(acquisition, promise);
        }
    }

    private void retryOrRefuse(TokenAcquisition acquisition, Promise<List<VmReservation>> promise) {
        OptionalLong retryDelay = acquisition.retryDelay(rateWaitMillis);
        if (retryDelay.isPresent()) {
            vertx.setTimer(
                    retryDelay.getAsLong(),
                    timer -> startAcquisition(acquisition.retry(), promise));
            return;
        }
        ErrorCode code =
                acquisition.isShareFound() ? ErrorCode.RATE_EXCEEDED : ErrorCode.RATE_UNAVAILABLE;
        events.record(
                EventCode.RATE_REFUSED,
                acquisition.customer(),
                acquisition.tokens(),
                acquisition.reservedTokens());
        Duration retryAfter = Duration.ofMillis(acquisition.retryAfterMillis());
        promise.tryFail(
                VanillapointException.refusal(
                        code, "rate and burst leave no room now", retryAfter));
    }

    private void returnTokens(VmReservation reservation) {
        if (reservation.source().equals(self)) {
            authority.settle(clock.get(), self, reservation.id(), reservation.tokens());
        } else {
            send.accept(reservation.source(), new Settle(reservation.id(), reservation.tokens()));
        }
    }

    /** VMs to ask for the tokens that the customer's home in this region can't provide. */
    private List<VmId> fallbackSources(Customer customer) {
        if (!policy.requestsFromOthers()) {
            return List.of();
        }
        List<VmId> sources = new ArrayList<>();
        for (RegionId permitted : customer.regionWeights().keySet()) {
            List<Vm> vms = availableVms(permitted);
            if (policy.grantsLeases()) {
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

    private List<Vm> availableVms(RegionId sourceRegion) {
        return config.get().vms().values().stream()
                .filter(vm -> vm.region().equals(sourceRegion) && vm.state().acceptsRequests())
                .filter(isReachable)
                .toList();
    }

    private static Optional<Vm> home(Customer customer, List<Vm> vms) {
        return Rendezvous.pick(customer.id().value(), vms, vm -> vm.id().value());
    }

    /** A reservation request that waits for its reply. */
    private record PendingRequest(
            TokenAcquisition acquisition, Promise<List<VmReservation>> promise) {}
}
