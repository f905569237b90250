package io.vanillapoint.core.limit;

import io.vanillapoint.api.model.CustomerId;
import io.vanillapoint.api.model.VmId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Acquires the tokens of one request: first from the customer's home in this region, then, for the
 * missing tokens, from all fallback sources in parallel.
 *
 * <p>Invariant: reservations that are not needed, or that arrive after the acquisition has ended,
 * are returned exactly once. Confined to one thread; the caller sends the reservation requests and
 * reports their results.
 */
public final class TokenAcquisition {
    private static final double EPSILON = 1e-6;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final CustomerId customer;
    private final double tokens;
    private final double ratePerSecond;
    private final Supplier<List<VmId>> fallbackSources;
    private final LongSupplier ids;
    private final boolean isRetry;
    private final Map<Long, ReservationRequest> pending = new LinkedHashMap<>();
    private final List<VmReservation> reservations = new ArrayList<>();
    private final List<VmReservation> toReturn = new ArrayList<>();
    private State state = State.OPEN;
    private boolean fallbackRequested;
    private boolean shareFound;
    private boolean refusalReported;
    private double reservedTokens;

    /**
     * Creates an acquisition.
     *
     * @param customer whose tokens
     * @param tokens how many
     * @param ratePerSecond the customer's rate, used to compute the retry delay
     * @param fallbackSources supplies the VMs to request the missing tokens from; called only if
     *     the first VM does not grant all
     * @param ids source of request ids
     */
    public TokenAcquisition(
            CustomerId customer,
            double tokens,
            double ratePerSecond,
            Supplier<List<VmId>> fallbackSources,
            LongSupplier ids) {
        this(customer, tokens, ratePerSecond, fallbackSources, ids, false);
    }

    private TokenAcquisition(
            CustomerId customer,
            double tokens,
            double ratePerSecond,
            Supplier<List<VmId>> fallbackSources,
            LongSupplier ids,
            boolean isRetry) {
        this.isRetry = isRetry;
        this.customer = customer;
        this.tokens = tokens;
        this.ratePerSecond = ratePerSecond;
        this.fallbackSources = fallbackSources;
        this.ids = ids;
    }

    /**
     * Starts the acquisition.
     *
     * @param first VM to request the tokens from first
     * @return requests to send
     */
    public List<ReservationRequest> start(VmId first) {
        return List.of(createRequest(first, tokens));
    }

    /**
     * Processes a reply.
     *
     * @param id id of the request
     * @param granted tokens that were reserved, 0 for none
     * @param share part of the region's rate that the replying VM holds for the customer
     * @return requests to send
     */
    public List<ReservationRequest> onReply(long id, double granted, double share) {
        ReservationRequest request = pending.remove(id);
        if (request == null) {
            return List.of();
        }
        shareFound |= share > 0;
        if (granted > 0) {
            addReservation(new VmReservation(request.to(), id, granted));
        }
        return advance();
    }

    /**
     * Processes the timeout of a request. The tokens that it may have reserved must be returned.
     *
     * @param id id of the request
     * @return requests to send
     */
    public List<ReservationRequest> onTimeout(long id) {
        ReservationRequest request = pending.remove(id);
        if (request == null) {
            return List.of();
        }
        toReturn.add(new VmReservation(request.to(), id, request.tokens()));
        return advance();
    }

    /**
     * Customer whose tokens are acquired.
     *
     * @return name of the customer
     */
    public CustomerId customer() {
        return customer;
    }

    /**
     * How many tokens to acquire.
     *
     * @return tokens
     */
    public double tokens() {
        return tokens;
    }

    /**
     * State of the acquisition.
     *
     * @return the state
     */
    public State state() {
        return state;
    }

    /**
     * Whether at least one VM that replied holds a part of the customer's rate.
     *
     * @return false if no VM with a share of the customer's rate replied
     */
    public boolean isShareFound() {
        return shareFound;
    }

    /**
     * Reservations that belong to the request, once the state is {@link State#GRANTED}.
     *
     * @return immutable copy
     */
    public List<VmReservation> reservations() {
        return List.copyOf(reservations);
    }

    /**
     * Removes the reservations whose tokens must be returned to their sources.
     *
     * @return the removed reservations, immutable
     */
    public List<VmReservation> takeReservationsToReturn() {
        List<VmReservation> taken = List.copyOf(toReturn);
        toReturn.clear();
        return taken;
    }

    /**
     * Reports the refusal once, so that it is handled once.
     *
     * @return true at the first call after the refusal
     */
    public boolean takeRefusal() {
        boolean first = state == State.REFUSED && !refusalReported;
        refusalReported |= first;
        return first;
    }

    /**
     * Whether to retry the acquisition after a short delay instead of refusing the request: the
     * missing tokens are about to flow in, or another refused request of the customer is about to
     * return those it holds. There is at most one retry.
     *
     * @param maxWaitMillis maximum delay
     * @return delay in milliseconds, or nothing if the refusal is final
     */
    public OptionalLong retryDelay(long maxWaitMillis) {
        boolean shouldRetry =
                state == State.REFUSED
                        && !isRetry
                        && shareFound
                        && retryAfterMillis() <= maxWaitMillis;
        return shouldRetry ? OptionalLong.of(retryAfterMillis()) : OptionalLong.empty();
    }

    /**
     * Creates the retry of this acquisition, which is not retried again.
     *
     * @return an acquisition that has not started
     */
    public TokenAcquisition retry() {
        return new TokenAcquisition(customer, tokens, ratePerSecond, fallbackSources, ids, true);
    }

    /**
     * Tokens that have been reserved, also after a refusal.
     *
     * @return from 0 to the tokens to acquire
     */
    public double reservedTokens() {
        return reservedTokens;
    }

    /**
     * Retry delay after a refusal.
     *
     * @return milliseconds, at least 1
     */
    public long retryAfterMillis() {
        double missing = Math.max(0, tokens - reservedTokens);
        return 1 + (long) Math.ceil(missing / ratePerSecond * MILLIS_PER_SECOND);
    }

    private List<ReservationRequest> advance() {
        if (state != State.OPEN) {
            return List.of();
        }
        if (reservedTokens + EPSILON >= tokens) {
            state = State.GRANTED;
            return List.of();
        }
        if (!pending.isEmpty()) {
            return List.of();
        }
        List<VmId> sources = fallbackRequested ? List.of() : fallbackSources.get();
        if (sources.isEmpty()) {
            state = State.REFUSED;
            toReturn.addAll(reservations);
            reservations.clear();
            return List.of();
        }
        fallbackRequested = true;
        double missing = tokens - reservedTokens;
        return sources.stream().map(vm -> createRequest(vm, missing)).toList();
    }

    private void addReservation(VmReservation reservation) {
        if (state != State.OPEN) {
            toReturn.add(reservation);
            return;
        }
        double needed = Math.min(reservation.tokens(), tokens - reservedTokens);
        reservedTokens += needed;
        reservations.add(
                new VmReservation(reservation.source(), reservation.id(), reservation.tokens()));
    }

    private ReservationRequest createRequest(VmId to, double amount) {
        ReservationRequest request = new ReservationRequest(ids.getAsLong(), to, customer, amount);
        pending.put(request.id(), request);
        return request;
    }

    /** State of an acquisition. */
    public enum State {
        /** Waiting for replies. */
        OPEN,
        /** All tokens are reserved. */
        GRANTED,
        /** Too few tokens were available. */
        REFUSED
    }

    /**
     * A request to reserve tokens at one VM. Immutable.
     *
     * @param id id of the request
     * @param to VM to send it to
     * @param customer whose tokens
     * @param tokens how many at most
     */
    public record ReservationRequest(long id, VmId to, CustomerId customer, double tokens) {}

    /**
     * Tokens reserved at one VM. Immutable.
     *
     * @param source the VM
     * @param id id of the request that reserved them
     * @param tokens how many
     */
    public record VmReservation(VmId source, long id, double tokens) {}
}
