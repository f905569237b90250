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
 * Collects the tokens of one request: first from the customer's home in this region, then, for what
 * is missing, from all its other homes at once.
 *
 * <p>Invariant: tokens that are not needed, or that come in after the end, are given back exactly
 * once. Confined to one thread; the caller sends the asks and reports what came of them.
 */
public final class TokenGather {
    private static final double EPSILON = 1e-6;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final CustomerId customer;
    private final double tokens;
    private final double ratePerSecond;
    private final Supplier<List<VmId>> laterSources;
    private final LongSupplier ids;
    private final boolean isSecond;
    private final Map<Long, Ask> open = new LinkedHashMap<>();
    private final List<Part> parts = new ArrayList<>();
    private final List<Part> surplus = new ArrayList<>();
    private State state = State.OPEN;
    private boolean askedLater;
    private boolean shareFound;
    private boolean refusalTaken;
    private double gathered;

    /**
     * Creates a collection.
     *
     * @param customer whose tokens
     * @param tokens how many
     * @param ratePerSecond the customer's rate, to work out when to come back
     * @param laterSources finds the VMs to ask for what the first one lacks; called only if it does
     * @param ids source of numbers for exchanges
     */
    public TokenGather(
            CustomerId customer,
            double tokens,
            double ratePerSecond,
            Supplier<List<VmId>> laterSources,
            LongSupplier ids) {
        this(customer, tokens, ratePerSecond, laterSources, ids, false);
    }

    private TokenGather(
            CustomerId customer,
            double tokens,
            double ratePerSecond,
            Supplier<List<VmId>> laterSources,
            LongSupplier ids,
            boolean isSecond) {
        this.isSecond = isSecond;
        this.customer = customer;
        this.tokens = tokens;
        this.ratePerSecond = ratePerSecond;
        this.laterSources = laterSources;
        this.ids = ids;
    }

    /**
     * Begins.
     *
     * @param first VM to ask first
     * @return asks to send
     */
    public List<Ask> start(VmId first) {
        return List.of(ask(first, tokens));
    }

    /**
     * Takes an answer.
     *
     * @param id number of the ask
     * @param granted tokens that were reserved, 0 for none
     * @param share part of the region's rate that the answering VM holds for the customer
     * @return asks to send
     */
    public List<Ask> answer(long id, double granted, double share) {
        Ask ask = open.remove(id);
        if (ask == null) {
            return List.of();
        }
        shareFound |= share > 0;
        if (granted > 0) {
            takePart(new Part(ask.to(), id, granted));
        }
        return proceed();
    }

    /**
     * Takes note that an ask got no answer. What it may have reserved is to be given back.
     *
     * @param id number of the ask
     * @return asks to send
     */
    public List<Ask> noAnswer(long id) {
        Ask ask = open.remove(id);
        if (ask == null) {
            return List.of();
        }
        surplus.add(new Part(ask.to(), id, ask.tokens()));
        return proceed();
    }

    /**
     * Whose tokens are collected.
     *
     * @return name of the customer
     */
    public CustomerId customer() {
        return customer;
    }

    /**
     * How many tokens are collected.
     *
     * @return tokens
     */
    public double tokens() {
        return tokens;
    }

    /**
     * How far the collection is.
     *
     * @return the state
     */
    public State state() {
        return state;
    }

    /**
     * Tells whether at least one VM that answered holds a part of the customer's rate.
     *
     * @return false if nobody who has tokens of the customer could be asked
     */
    public boolean isShareFound() {
        return shareFound;
    }

    /**
     * Reservations that belong to the request, once the state is {@link State#GRANTED}.
     *
     * @return immutable copy
     */
    public List<Part> parts() {
        return List.copyOf(parts);
    }

    /**
     * Reservations to give back now. Each is returned once.
     *
     * @return immutable copy
     */
    public List<Part> takeSurplus() {
        List<Part> taken = List.copyOf(surplus);
        surplus.clear();
        return taken;
    }

    /**
     * Tells once that the collection was refused, so that the refusal is acted on once.
     *
     * @return true at the first call after the refusal
     */
    public boolean takeRefusal() {
        boolean first = state == State.REFUSED && !refusalTaken;
        refusalTaken |= first;
        return first;
    }

    /**
     * Tells whether to collect once more a little later instead of refusing: the missing tokens are
     * about to flow in, or another request of the customer that holds some is about to give way.
     *
     * @param longestWaitMillis longest wait
     * @return time to wait in milliseconds, or nothing if the refusal stands
     */
    public OptionalLong waitBeforeAgain(long longestWaitMillis) {
        boolean worthIt =
                state == State.REFUSED
                        && !isSecond
                        && shareFound
                        && retryAfterMillis() <= longestWaitMillis;
        return worthIt ? OptionalLong.of(retryAfterMillis()) : OptionalLong.empty();
    }

    /**
     * The same collection from the start, for the last time.
     *
     * @return a collection that has not begun
     */
    public TokenGather again() {
        return new TokenGather(customer, tokens, ratePerSecond, laterSources, ids, true);
    }

    /**
     * Tokens that were reserved before the collection was refused.
     *
     * @return from 0 to the tokens that were asked for
     */
    public double gathered() {
        return gathered;
    }

    /**
     * When to come back after a refusal.
     *
     * @return milliseconds, at least 1
     */
    public long retryAfterMillis() {
        double missing = Math.max(0, tokens - gathered);
        return 1 + (long) Math.ceil(missing / ratePerSecond * MILLIS_PER_SECOND);
    }

    private List<Ask> proceed() {
        if (state != State.OPEN) {
            return List.of();
        }
        if (gathered + EPSILON >= tokens) {
            state = State.GRANTED;
            return List.of();
        }
        if (!open.isEmpty()) {
            return List.of();
        }
        List<VmId> sources = askedLater ? List.of() : laterSources.get();
        if (sources.isEmpty()) {
            state = State.REFUSED;
            surplus.addAll(parts);
            parts.clear();
            return List.of();
        }
        askedLater = true;
        double missing = tokens - gathered;
        return sources.stream().map(vm -> ask(vm, missing)).toList();
    }

    private void takePart(Part part) {
        if (state != State.OPEN) {
            surplus.add(part);
            return;
        }
        double needed = Math.min(part.tokens(), tokens - gathered);
        gathered += needed;
        parts.add(new Part(part.source(), part.id(), part.tokens()));
    }

    private Ask ask(VmId to, double amount) {
        Ask ask = new Ask(ids.getAsLong(), to, customer, amount);
        open.put(ask.id(), ask);
        return ask;
    }

    /** How far a collection is. */
    public enum State {
        /** Answers are awaited. */
        OPEN,
        /** All tokens are there. */
        GRANTED,
        /** Too few tokens are there. */
        REFUSED
    }

    /**
     * One question. Immutable.
     *
     * @param id number of the exchange
     * @param to VM to ask
     * @param customer whose tokens
     * @param tokens how many at most
     */
    public record Ask(long id, VmId to, CustomerId customer, double tokens) {}

    /**
     * Tokens that one VM reserved. Immutable.
     *
     * @param source the VM
     * @param id number of the exchange
     * @param tokens how many
     */
    public record Part(VmId source, long id, double tokens) {}
}
