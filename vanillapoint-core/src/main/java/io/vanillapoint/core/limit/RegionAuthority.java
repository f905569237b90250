package io.vanillapoint.core.limit;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventSink;
import io.vanillapoint.api.model.CustomerId;
import io.vanillapoint.api.model.GatewayConfig;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.Vm;
import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.invariant.Invariants;
import io.vanillapoint.core.limit.PeerTable.Peer;
import io.vanillapoint.core.limit.ReservationTable.Reservation;
import io.vanillapoint.core.message.Heartbeat;
import io.vanillapoint.core.message.HeartbeatReply;
import io.vanillapoint.core.message.LeaseGrant;
import io.vanillapoint.core.message.Member;
import io.vanillapoint.core.message.MembershipUpdate;
import io.vanillapoint.core.message.Outgoing;
import io.vanillapoint.core.message.PlacementView;
import io.vanillapoint.core.time.ClockReading;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Enforces the rate and burst of every customer across the fleet, as one VM's part of a protocol
 * that needs neither a shared store nor consensus.
 *
 * <p>Each region has a fixed part of a customer's grant. Each VM of the region has a base share of
 * that part, which it uses itself or leases to the customer's home VM. The fleet never grants more
 * than burst + rate x time in any window, for these reasons:
 *
 * <ol>
 *   <li>The members that an active VM counts include all active VMs of its region. A starting VM
 *       becomes active only after each member that it counts has confirmed, in reply to a recent
 *       heartbeat, that it counts the starting VM; and its members come from a list read after the
 *       list's maximum staleness has passed since its start, or from an active VM to which it sent
 *       a heartbeat after the quarantine since its start.
 *   <li>So the base shares, 1 / (number of members), add up to at most 1. A VM confirms that it
 *       counts a starting VM only once no lease of a larger share is in use, and a member is
 *       removed only after the platform has delisted it and a quarantine has outlasted its leases.
 *   <li>Any two leases of one VM that are in use, and its own use of its share, have a common view,
 *       under which a customer has one home. So no part of a share is used by two VMs. The holder
 *       measures a lease from when it requested it, the grantor from when it granted it.
 *   <li>A bucket's cap is the burst times the shares held now, its level never exceeds the cap, and
 *       a new share adds no tokens to the level. So the levels add up to at most the burst at any
 *       time, and the inflow to at most the rate.
 *   <li>Tokens that move between regions are taken from the source bucket before they are sent. The
 *       receiver reserves capacity for them within its cap until a timeout, and drops them if they
 *       arrive later.
 * </ol>
 *
 * <p>Assumption: a VM that the platform has removed from its list is no longer running.
 *
 * <p>Confined to one thread. Performs no I/O: time and received messages are arguments, messages to
 * send are results.
 */
public final class RegionAuthority {
    private static final double EPSILON = 1e-9;

    private final AuthoritySettings settings;
    private final LimitTiming timing;
    private final EventSink events;
    private final MemberTable members;
    private final PeerTable peers = new PeerTable();
    private final GrantedLeases grantedLeases;
    private final HeldLeases heldLeases;
    private final PlacementViewTransition views;
    private final CustomerBuckets buckets;
    private final ReservationTable reservations = new ReservationTable();

    private Set<VmId> regionVms = new TreeSet<>();
    private long configRevision;
    private boolean leaving;
    private boolean active;
    private double baseShare;
    private long becameInactiveMillis;
    private long listRequestedAtMillis = Long.MIN_VALUE;
    private long activePeerHeartbeatMillis = Long.MIN_VALUE;
    private long becameInactiveConservativeMillis;
    private long nextHeartbeatMillis = Long.MIN_VALUE;

    /**
     * Creates the authority of a process that has just started.
     *
     * @param settings identity of the VM, timing and policy
     * @param now time of the start
     * @param events sink for events
     * @param invariants checks of the invariants
     */
    public RegionAuthority(
            AuthoritySettings settings, ClockReading now, EventSink events, Invariants invariants) {
        this.settings = settings;
        this.timing = settings.timing();
        this.events = events;
        this.members = new MemberTable(settings.self(), timing.quarantineMillis());
        this.grantedLeases = new GrantedLeases(timing, 1);
        this.heldLeases = new HeldLeases(timing);
        this.views =
                new PlacementViewTransition(
                        settings.policy().desiredView(settings.self(), List.of(settings.self())));
        this.buckets = new CustomerBuckets(settings, invariants);
        this.becameInactiveMillis = now.monotonicMillis();
        this.becameInactiveConservativeMillis = now.conservativeMillis();
    }

    /**
     * Whether this VM is active, that is, holds its base share.
     *
     * @return false after a start or a removal from the platform's list, until it may activate
     */
    public boolean isActive() {
        return active;
    }

    /**
     * This VM's base share of the region's rate and burst, before leases.
     *
     * @return from 0 to 1; 0 while the VM is not active
     */
    public double baseShare() {
        return baseShare;
    }

    /**
     * Part of the region's grant that this VM holds for a customer now.
     *
     * @param now time
     * @param customer name of the customer
     * @return from 0 to 1
     */
    public double shareOf(ClockReading now, CustomerId customer) {
        expire(now);
        return buckets.find(customer).map(CustomerBucket::share).orElse(0.0);
    }

    /**
     * Home of a customer: the VM of this region to request its tokens from.
     *
     * @param customer name of the customer
     * @return the home, or nothing if no VM is known to be alive
     */
    public Optional<VmId> home(CustomerId customer) {
        return views.target().home(customer);
    }

    /**
     * VMs of this region that are alive and not leaving.
     *
     * @param now time
     * @return sorted names, this VM included unless it is leaving
     */
    public Set<VmId> liveVms(ClockReading now) {
        Set<VmId> live = new TreeSet<>();
        for (VmId vm : regionVms) {
            Peer peer = peers.peer(vm);
            boolean alive = peers.isAlive(vm, now.monotonicMillis(), timing.failureMillis());
            if (alive && !peer.leaving()) {
                live.add(vm);
            }
        }
        if (!leaving) {
            live.add(settings.self());
        }
        return live;
    }

    /**
     * Members among which this VM splits the region's rate.
     *
     * @return immutable copy
     */
    public Set<VmId> members() {
        return Set.copyOf(members.vms());
    }

    /**
     * Applies a configuration.
     *
     * @param now time
     * @param config configuration with the platform's list of VMs
     * @param listRevision revision of the list of VMs
     */
    public void configure(ClockReading now, GatewayConfig config, long listRevision) {
        expire(now);
        configRevision = config.revision();
        RegionId region = settings.region();
        Set<VmId> listed = new TreeSet<>();
        for (Vm vm : config.vms().values()) {
            if (vm.region().equals(region)) {
                listed.add(vm.id());
            }
        }
        members.acceptList(now.monotonicMillis(), listRevision, listed);
        regionVms.addAll(listed);
        buckets.configure(now, config);
        buckets.recomputeShares(now, ownShareAsLease(), heldLeases.grants());
        refreshBaseShare(now);
    }

    /**
     * Records that the platform itself has answered a read of the list of VMs, whether or not the
     * list has changed.
     *
     * @param requestedAt time at which the read was requested
     */
    public void recordListRead(ClockReading requestedAt) {
        listRequestedAtMillis = requestedAt.monotonicMillis();
    }

    /** Starts the graceful shutdown: the views exclude this VM, so that it stops being a home. */
    public void startLeaving() {
        leaving = true;
    }

    /**
     * Performs periodic work. Must be called at least once per heartbeat interval.
     *
     * @param now time
     * @return heartbeats to send
     */
    public List<Outgoing> tick(ClockReading now) {
        expire(now);
        refreshBaseShare(now);
        advanceViews(now);
        if (now.monotonicMillis() < nextHeartbeatMillis) {
            return List.of();
        }
        nextHeartbeatMillis = now.monotonicMillis() + timing.heartbeatMillis();
        List<Outgoing> outgoing = new ArrayList<>();
        Set<VmId> receivers = new TreeSet<>(regionVms);
        receivers.addAll(members.vms());
        receivers.remove(settings.self());
        for (VmId vm : receivers) {
            outgoing.add(new Outgoing(vm, heartbeat(now, vm)));
        }
        return outgoing;
    }

    /**
     * Processes a heartbeat.
     *
     * @param now time
     * @param from sender
     * @param message the heartbeat
     * @return the reply
     */
    public HeartbeatReply receive(ClockReading now, VmId from, Heartbeat message) {
        expire(now);
        recordMessage(now, from, message.incarnation(), message.membershipUpdate());
        peers.peer(from).setLeaving(message.leaving());
        if (message.listedAt() > 0) {
            members.merge(now.monotonicMillis(), List.of(new Member(from, message.listedAt())));
        }
        if (message.heldLease().incarnation() == settings.incarnation()) {
            grantedLeases.confirm(from, message.incarnation(), message.heldLease().sequence());
        } else {
            grantedLeases.confirm(from, message.incarnation(), 0);
        }
        refreshBaseShare(now);
        advanceViews(now);
        boolean counted = isCountedInAllShares(now, from);
        Optional<LeaseGrant> lease = grantLease(now, from, message);
        return new HeartbeatReply(
                settings.incarnation(),
                message.incarnation(),
                message.sequence(),
                active,
                counted,
                configRevision,
                membershipUpdate(from, message.membershipUpdate().knownDigest()),
                lease);
    }

    /**
     * Processes the reply to a heartbeat. Replies to an earlier incarnation and those without a
     * pending heartbeat are ignored.
     *
     * @param now time
     * @param from sender
     * @param message the reply
     */
    public void receive(ClockReading now, VmId from, HeartbeatReply message) {
        expire(now);
        if (message.requesterIncarnation() != settings.incarnation()) {
            return;
        }
        Peer peer = peers.peer(from);
        Long heartbeatSentAt = peer.completeHeartbeat(message.sequence());
        if (heartbeatSentAt == null) {
            return;
        }
        recordMessage(now, from, message.incarnation(), message.membershipUpdate());
        peer.setCounted(message.counted(), heartbeatSentAt);
        if (message.active()) {
            activePeerHeartbeatMillis = Math.max(activePeerHeartbeatMillis, heartbeatSentAt);
        }
        refreshBaseShare(now);
        if (message.lease().isPresent()) {
            acceptLease(now, from, message.incarnation(), message.lease().get(), heartbeatSentAt);
        }
    }

    /**
     * Reserves tokens from this VM's bucket of a customer, fewer if there are not enough.
     *
     * @param now time
     * @param requester VM that runs the request
     * @param id number of the reservation, chosen by that VM
     * @param customer whose tokens
     * @param tokens how many at most
     * @return the reserved tokens; none if the customer is unknown or the number is in use
     */
    public ReserveOutcome reserve(
            ClockReading now, VmId requester, long id, CustomerId customer, double tokens) {
        expire(now);
        Optional<CustomerBucket> found = buckets.find(customer);
        if (found.isEmpty() || reservations.contains(requester, id)) {
            return new ReserveOutcome(0, Long.MAX_VALUE, 0);
        }
        CustomerBucket bucket = found.get();
        bucket.advance(now, timing.drift());
        double taken = bucket.tokenBucket().takeUpTo(tokens);
        if (taken > 0) {
            reservations.add(requester, id, customer, taken);
        }
        long wait = bucket.tokenBucket().millisUntil(tokens - taken);
        return new ReserveOutcome(taken, taken >= tokens ? 0 : wait, bucket.share());
    }

    /**
     * Takes tokens for a transfer to another region. Only the surplus of the customer's bucket is
     * available for it.
     *
     * @param now time
     * @param customer whose tokens
     * @param tokens how many at most
     * @return tokens that were taken
     */
    public double takeSurplus(ClockReading now, CustomerId customer, double tokens) {
        expire(now);
        Optional<CustomerBucket> found = buckets.find(customer);
        if (found.isEmpty()) {
            return 0;
        }
        found.get().advance(now, timing.drift());
        return found.get().tokenBucket().takeUpTo(Math.min(tokens, found.get().surplus()));
    }

    /**
     * Starts a transfer of a customer's tokens from another region before they run out in this one.
     *
     * @param now time
     * @param customer whose tokens
     * @param id id of the transfer, unique among those of this VM
     * @return tokens to request, 0 if none are needed, a transfer is in progress or the last one
     *     brought none shortly before
     */
    public double startTransfer(ClockReading now, CustomerId customer, long id) {
        expire(now);
        Optional<CustomerBucket> found = buckets.find(customer);
        if (found.isEmpty() || found.get().share() <= 0) {
            return 0;
        }
        found.get().advance(now, timing.drift());
        return found.get().startTransfer(now, id);
    }

    /**
     * Completes a transfer with the tokens that another region has sent. Without effect if another
     * transfer, or none, is in progress.
     *
     * @param now time
     * @param customer whose tokens
     * @param id id of the transfer
     * @param tokens how many, 0 if that region had no surplus
     */
    public void completeTransfer(ClockReading now, CustomerId customer, long id, double tokens) {
        expire(now);
        buckets.find(customer)
                .ifPresent(
                        bucket -> {
                            bucket.advance(now, timing.drift());
                            bucket.completeTransfer(now, id, tokens);
                        });
    }

    /**
     * Returns the unused tokens of a reservation to the bucket. A second call for the same
     * reservation has no effect.
     *
     * @param now time
     * @param requester VM that reserved
     * @param id number of the reservation
     * @param unused tokens that were not used
     * @return tokens that were returned, at most those reserved
     */
    public double settle(ClockReading now, VmId requester, long id, double unused) {
        expire(now);
        Optional<Reservation> found = reservations.remove(requester, id);
        if (found.isEmpty() || !(unused > 0)) {
            return 0;
        }
        double returned = Math.min(unused, found.get().tokens());
        Optional<CustomerBucket> bucket = buckets.find(found.get().customer());
        if (bucket.isEmpty()) {
            return 0;
        }
        bucket.get().advance(now, timing.drift());
        bucket.get().tokenBucket().returnTokens(returned);
        return returned;
    }

    private Heartbeat heartbeat(ClockReading now, VmId to) {
        return new Heartbeat(
                settings.incarnation(),
                peers.peer(to).startHeartbeat(now.conservativeMillis()),
                members.selfListedRevision(),
                leaving,
                heldLeases.newest(to),
                configRevision,
                membershipUpdate(to, peers.peer(to).digestKnownToPeer()));
    }

    private void recordMessage(
            ClockReading now, VmId from, long incarnation, MembershipUpdate update) {
        Peer peer = peers.peer(from);
        peer.recordMessage(now.monotonicMillis(), incarnation);
        regionVms.add(from);
        if (peer.acceptUpdate(update)) {
            members.merge(now.monotonicMillis(), update.members());
        }
    }

    /** The members that this VM counts, without the list if the peer knows it already. */
    private MembershipUpdate membershipUpdate(VmId to, long digestKnownToPeer) {
        long digest = members.digest();
        List<Member> list = digestKnownToPeer == digest ? List.of() : members.members();
        return new MembershipUpdate(digest, peers.peer(to).mergedDigest(), list);
    }

    /**
     * True if every share that this VM uses or has leased was computed with the other VM counted.
     */
    private boolean isCountedInAllShares(ClockReading now, VmId other) {
        long age = now.monotonicMillis() - becameInactiveMillis;
        return age >= timing.quarantineMillis()
                && members.contains(other)
                && grantedLeases.largestShare() <= baseShare + EPSILON;
    }

    private Optional<LeaseGrant> grantLease(ClockReading now, VmId holder, Heartbeat heartbeat) {
        boolean inViews = views.leaseViews().stream().allMatch(view -> view.vms().contains(holder));
        if (!active || !settings.policy().grantsLeases() || !inViews) {
            return Optional.empty();
        }
        long heldSequence = heartbeat.heldLease().sequence();
        boolean viewsKnown =
                heartbeat.heldLease().incarnation() == settings.incarnation()
                        && grantedLeases.hasViews(holder, heldSequence, views.leaseViews());
        LeaseGrant grant =
                grantedLeases.grantLease(
                        now.monotonicMillis(),
                        holder,
                        heartbeat.incarnation(),
                        baseShare,
                        views.leaseViews());
        return Optional.of(viewsKnown ? grant.withoutViews(heldSequence) : grant);
    }

    private void acceptLease(
            ClockReading now,
            VmId grantor,
            long incarnation,
            LeaseGrant grant,
            long requestedAtMillis) {
        HeldLeases.Change change =
                heldLeases.accept(grantor, incarnation, grant, requestedAtMillis);
        if (change == HeldLeases.Change.NONE) {
            return;
        }
        if (change == HeldLeases.Change.GAINED) {
            events.record(EventCode.LEASE_GAINED, grantor, grant.share());
        }
        expire(now);
        buckets.recomputeShares(now, ownShareAsLease(), heldLeases.grants());
    }

    /** Expires leases and quarantined members. Runs before every decision. */
    private void expire(ClockReading now) {
        grantedLeases.expire(now.monotonicMillis());
        members.expire(now.monotonicMillis());
        List<VmId> expired = heldLeases.expire(now.conservativeMillis());
        if (expired.isEmpty()) {
            return;
        }
        expired.forEach(grantor -> events.record(EventCode.LEASE_LAPSED, grantor));
        buckets.recomputeShares(now, ownShareAsLease(), heldLeases.grants());
    }

    private void refreshBaseShare(ClockReading now) {
        if (members.listRevision() > 0 && members.selfListedRevision() == 0 && active) {
            deactivate(now, "dropped from the platform's list");
        }
        if (!active && mayActivate(now)) {
            active = true;
            events.record(EventCode.SHARE_ACTIVE, 1.0 / members.size(), members.size());
        }
        double share = active ? 1.0 / members.size() : 0;
        if (share != baseShare) {
            baseShare = share;
            events.record(EventCode.SHARE_CHANGED, share, members.size());
            buckets.recomputeShares(now, ownShareAsLease(), heldLeases.grants());
        }
    }

    private void deactivate(ClockReading now, String reason) {
        active = false;
        becameInactiveMillis = now.monotonicMillis();
        becameInactiveConservativeMillis = now.conservativeMillis();
        activePeerHeartbeatMillis = Long.MIN_VALUE;
        listRequestedAtMillis = Long.MIN_VALUE;
        events.record(EventCode.SHARE_INACTIVE, reason);
    }

    private boolean mayActivate(ClockReading now) {
        long quarantine = timing.quarantineMillis();
        boolean quarantineOver = now.monotonicMillis() - becameInactiveMillis >= quarantine;
        if (!quarantineOver
                || members.selfListedRevision() == 0
                || members.hasQuarantinedMembers()) {
            return false;
        }
        boolean freshList = listRequestedAtMillis >= becameInactiveMillis + timing.listLagMillis();
        boolean activePeer =
                activePeerHeartbeatMillis >= becameInactiveConservativeMillis + quarantine;
        return (freshList || activePeer) && isCountedByAll(now);
    }

    private boolean isCountedByAll(ClockReading now) {
        long earliestSent = now.conservativeMillis() - timing.leaseMillis() / 2;
        return members.vms().stream()
                .filter(vm -> !vm.equals(settings.self()))
                .allMatch(vm -> peers.peer(vm).countsThisVmSince(earliestSent));
    }

    private void advanceViews(ClockReading now) {
        PlacementView wanted = settings.policy().desiredView(settings.self(), liveVms(now));
        if (views.advance(wanted, grantedLeases)) {
            buckets.recomputeShares(now, ownShareAsLease(), heldLeases.grants());
        }
    }

    /** This VM's own share, represented as a lease to itself. */
    private LeaseGrant ownShareAsLease() {
        return new LeaseGrant(0, baseShare, 0, 0, views.leaseViews());
    }
}
