package io.vanillapoint.core.limit;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.model.Customer;
import io.vanillapoint.api.model.CustomerId;
import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.api.model.GatewayConfig;
import io.vanillapoint.api.model.Lifecycle;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.TokenGrant;
import io.vanillapoint.api.model.Vm;
import io.vanillapoint.api.model.VmId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.hash.Rendezvous;
import io.vanillapoint.core.invariant.Invariants;
import io.vanillapoint.core.limit.TokenAcquisition.ReservationRequest;
import io.vanillapoint.core.limit.TokenAcquisition.VmReservation;
import io.vanillapoint.core.message.Heartbeat;
import io.vanillapoint.core.message.HeartbeatReply;
import io.vanillapoint.core.message.Outgoing;
import io.vanillapoint.core.message.PeerMessage;
import io.vanillapoint.core.message.ReservePurpose;
import io.vanillapoint.core.message.ReserveReply;
import io.vanillapoint.core.message.ReserveRequest;
import io.vanillapoint.core.message.Settle;
import io.vanillapoint.core.time.ClockReading;
import io.vanillapoint.core.time.ConservativeClock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;

/**
 * Deterministic simulation of the VMs of two regions in virtual time, with network and platform
 * faults. It runs the production {@link RegionAuthority} and {@link TokenAcquisition}, asserts at
 * every grant that no customer exceeds its rate and burst, and at every step that the shares add up
 * to at most 1.
 */
final class VirtualFleet {
    static final List<RegionId> REGIONS = List.of(new RegionId("a"), new RegionId("b"));
    static final List<CustomerId> CUSTOMERS =
            IntStream.range(0, 6).mapToObj(number -> new CustomerId("c" + number)).toList();

    private static final long STEP_MILLIS = 25;
    private static final long REQUEST_TIMEOUT_MILLIS = 400;
    private static final long RANDOM_LIST_AGE = -1;
    private static final double EPSILON = 1e-6;

    final LimitTiming timing;
    final Random random;
    final Map<VmId, Node> nodes = new TreeMap<>();
    final Set<Link> blockedLinks = new HashSet<>();
    double lossRate;
    double delayRate;
    double duplicateRate;
    double unusedRate = 0.5;
    long maxRetryWaitMillis;
    boolean transfersEnabled = true;
    int grantedInRegion;
    boolean platformDown;
    long now = 1_000_000;
    int granted;
    int refused;
    double grantedTokens;
    long remoteReservations;

    private final SharePolicy policy;
    private final TokenGrant grant;
    private final GrantLedger ledger = new GrantLedger();
    final IdealMeter ideal;
    private final PriorityQueue<Delivery> network =
            new PriorityQueue<>(
                    Comparator.comparingLong(Delivery::at).thenComparingLong(Delivery::number));
    private final List<PublishedList> publishedLists = new ArrayList<>();
    private final Set<VmId> listed = new HashSet<>();
    private final Map<Reservation, ReservedTokens> reservations = new HashMap<>();
    private final ArrayDeque<String> trace = new ArrayDeque<>();
    private long nextDeliveryNumber;
    private long nextIncarnation = 1;
    private int nextVmNumber;

    VirtualFleet(long seed, SharePolicy policy, LimitTiming timing, TokenGrant grant) {
        this.random = new Random(seed);
        this.policy = policy;
        this.timing = timing;
        this.grant = grant;
        this.ideal = new IdealMeter(grant);
    }

    /** Adds a VM with a new name to the platform's list and starts it. */
    Node addVm(RegionId region) {
        VmId id = new VmId(region + "-" + nextVmNumber++);
        Node node = new Node(id, region);
        nodes.put(id, node);
        listed.add(id);
        publish();
        node.start();
        return node;
    }

    /** Removes a VM from the platform's list, unless its process is running. */
    void removeFromList(VmId id) {
        if (nodes.get(id).authority == null && listed.remove(id)) {
            publish();
        }
    }

    /** Advances the virtual time. */
    void advance(long millis) {
        long end = now + millis;
        while (now < end) {
            now += STEP_MILLIS;
            deliverDue();
            nodes.values().forEach(Node::step);
            checkShares();
        }
    }

    /** Sends a request to a VM, which acquires its tokens and, if granted, settles them at once. */
    void request(VmId entry, CustomerId customer, double tokens) {
        Node node = nodes.get(entry);
        if (node.isRunning()) {
            node.request(customer, tokens);
        }
    }

    long listedIn(RegionId region) {
        return listed.stream().filter(id -> nodes.get(id).region.equals(region)).count();
    }

    boolean isListed(VmId id) {
        return listed.contains(id);
    }

    void blockLink(VmId from, VmId to) {
        blockedLinks.add(new Link(from, to));
    }

    private void publish() {
        GatewayConfig.Builder config = GatewayConfig.builder(publishedLists.size() + 1);
        for (CustomerId id : CUSTOMERS) {
            Customer.Builder customer = Customer.builder(id, grant);
            REGIONS.forEach(region -> customer.region(region, 1));
            config.customer(customer.build());
        }
        for (VmId id : listed) {
            Endpoint unused = new Endpoint("127.0.0.1", 1);
            RegionId region = nodes.get(id).region;
            ZoneId zone = new ZoneId(region.value());
            config.vm(new Vm(id, region, zone, unused, unused, unused, Lifecycle.LIVE));
        }
        publishedLists.add(new PublishedList(now, config.build()));
    }

    private void send(VmId from, VmId to, PeerMessage message) {
        if (random.nextDouble() < lossRate || blockedLinks.contains(new Link(from, to))) {
            return;
        }
        int copies = random.nextDouble() < duplicateRate ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            boolean sameRegion = nodes.get(from).region.equals(nodes.get(to).region);
            long delay = (sameRegion ? 2 : 55) + random.nextInt(10);
            if (random.nextDouble() < delayRate) {
                delay += random.nextInt(3 * (int) timing.leaseMillis());
            }
            network.add(new Delivery(now + delay, nextDeliveryNumber++, from, to, message));
        }
    }

    private void deliverDue() {
        while (!network.isEmpty() && network.peek().at() <= now) {
            Delivery delivery = network.poll();
            Node node = nodes.get(delivery.to());
            if (node.authority == null) {
                continue;
            }
            if (!node.isRunning()) {
                node.inbox.add(delivery);
                continue;
            }
            node.receive(delivery.from(), delivery.message());
        }
    }

    private void checkShares() {
        for (RegionId region : REGIONS) {
            for (CustomerId customer : CUSTOMERS) {
                double sum = 0;
                for (Node node : nodes.values()) {
                    if (node.authority != null && node.region.equals(region)) {
                        sum += node.authority.shareOf(node.clock(), customer);
                    }
                }
                if (sum > 1 + EPSILON) {
                    fail(
                            "shares of "
                                    + customer
                                    + " in "
                                    + region
                                    + " add up to more than 1: "
                                    + sum);
                }
            }
        }
    }

    private void recordGrant(CustomerId customer, double tokens) {
        double excess = ledger.add(customer, grant, now, tokens);
        if (excess > grant.burst() * (1 + EPSILON)) {
            fail(
                    customer
                            + " exceeded its rate by "
                            + excess
                            + " tokens, more than its burst of "
                            + grant.burst());
        }
    }

    void addTrace(String text) {
        trace.addLast(now + " " + text);
        if (trace.size() > 60) {
            trace.removeFirst();
        }
    }

    private void fail(String message) {
        throw new AssertionError(message + "\n" + String.join("\n", trace));
    }

    /** A VM, whose process may be stopped. */
    final class Node {
        final VmId id;
        final RegionId region;
        final double clockRate = 1 + (random.nextDouble() * 2 - 1) * timing.drift() * 0.99;
        RegionAuthority authority;
        long pausedUntil;
        long wallOffset;
        boolean platformUnreachable;
        long listAgeMillis = RANDOM_LIST_AGE;
        private long monotonicNanos;
        private long lastClockUpdate;
        private ConservativeClock clock;
        private long readRevision;
        private long nextRead;
        private long nextId = 1;
        private final ArrayDeque<Delivery> inbox = new ArrayDeque<>();
        private final Map<Long, PendingRequest> pending = new HashMap<>();
        private final Map<Long, CustomerId> transfers = new HashMap<>();
        private final List<ScheduledRetry> scheduledRetries = new ArrayList<>();
        private final Set<TokenAcquisition> finished = new HashSet<>();

        private Node(VmId id, RegionId region) {
            this.id = id;
            this.region = region;
        }

        boolean isRunning() {
            return authority != null && now >= pausedUntil;
        }

        void start() {
            if (authority != null) {
                return;
            }
            addTrace("start " + id);
            monotonicNanos = random.nextInt(1_000_000) * 1_000_000L;
            lastClockUpdate = now;
            clock = new ConservativeClock(monotonicNanos, now + wallOffset);
            readRevision = 0;
            nextRead = now;
            inbox.clear();
            pending.clear();
            scheduledRetries.clear();
            pausedUntil = 0;
            nextId = nextIncarnation * 1_000_000;
            authority =
                    new RegionAuthority(
                            new AuthoritySettings(id, region, nextIncarnation++, timing, policy),
                            clock(),
                            this::record,
                            new Invariants(this::record));
        }

        void kill() {
            if (authority != null) {
                addTrace("kill " + id);
                authority = null;
            }
        }

        /** Stops the process for a time; its clocks keep running. */
        void pause(long millis) {
            addTrace("pause " + id + " " + millis);
            pausedUntil = now + millis;
        }

        /** Suspends the VM for a time; its monotonic clock stops. */
        void suspend(long millis) {
            clock();
            lastClockUpdate = now + millis;
            pause(millis);
        }

        ClockReading clock() {
            if (now > lastClockUpdate) {
                monotonicNanos += (long) ((now - lastClockUpdate) * 1e6 * clockRate);
                lastClockUpdate = now;
            }
            return clock.read(monotonicNanos, now + wallOffset);
        }

        private void record(EventCode code, Object... values) {
            if (code == EventCode.INVARIANT_BROKEN) {
                fail("invariant broken: " + List.of(values));
            }
            if (code != EventCode.LEASE_GAINED && code != EventCode.RATE_REFUSED) {
                addTrace(id + " " + code + " " + List.of(values));
            }
        }

        private void step() {
            if (!isRunning()) {
                return;
            }
            while (!inbox.isEmpty()) {
                Delivery delivery = inbox.poll();
                receive(delivery.from(), delivery.message());
            }
            readPlatform();
            for (Outgoing outgoing : authority.tick(clock())) {
                if (nodes.containsKey(outgoing.to())) {
                    send(id, outgoing.to(), outgoing.message());
                }
            }
            for (ScheduledRetry due : List.copyOf(scheduledRetries)) {
                if (now >= due.atMillis()) {
                    scheduledRetries.remove(due);
                    VmId home = authority.home(due.acquisition().customer()).orElse(id);
                    sendRequests(due.acquisition(), due.acquisition().start(home));
                }
            }
            List.copyOf(pending.entrySet()).stream()
                    .filter(entry -> now >= entry.getValue().deadline)
                    .forEach(entry -> handleTimeout(entry.getKey()));
        }

        /** Reads a list that is at most the maximum lag old, never an older one than the last. */
        private void readPlatform() {
            if (platformDown || platformUnreachable || now < nextRead) {
                return;
            }
            nextRead = now + 200 + random.nextInt(400);
            long randomAge = random.nextInt((int) timing.listLagMillis() + 1);
            long asOf = now - (listAgeMillis == RANDOM_LIST_AGE ? randomAge : listAgeMillis);
            for (int i = publishedLists.size() - 1; i >= 0; i--) {
                PublishedList list = publishedLists.get(i);
                boolean visible = list.at() <= asOf || i == 0;
                if (visible && list.config().revision() >= readRevision) {
                    readRevision = list.config().revision();
                    authority.configure(clock(), list.config(), readRevision);
                    authority.recordListRead(clock());
                    return;
                }
            }
        }

        private void receive(VmId from, PeerMessage message) {
            if (message instanceof Heartbeat heartbeat) {
                send(id, from, authority.receive(clock(), from, heartbeat));
            } else if (message instanceof HeartbeatReply reply) {
                authority.receive(clock(), from, reply);
            } else if (message instanceof ReserveRequest request
                    && request.purpose() == ReservePurpose.TRANSFER) {
                double surplus =
                        authority.takeSurplus(clock(), request.customer(), request.tokens());
                send(id, from, new ReserveReply(request.id(), surplus, 0, 0));
            } else if (message instanceof ReserveRequest request) {
                ReserveOutcome outcome = reserve(from, request);
                send(
                        id,
                        from,
                        new ReserveReply(
                                request.id(),
                                outcome.granted(),
                                outcome.retryAfterMillis(),
                                outcome.share()));
            } else if (message instanceof ReserveReply reply && transfers.containsKey(reply.id())) {
                CustomerId customer = transfers.remove(reply.id());
                authority.completeTransfer(clock(), customer, reply.id(), reply.granted());
            } else if (message instanceof ReserveReply reply) {
                PendingRequest pendingRequest = pending.remove(reply.id());
                if (pendingRequest != null) {
                    sendRequests(
                            pendingRequest.acquisition,
                            pendingRequest.acquisition.onReply(
                                    reply.id(), reply.granted(), reply.share()));
                }
            } else if (message instanceof Settle settle) {
                settle(from, settle);
            }
        }

        private ReserveOutcome reserve(VmId from, ReserveRequest request) {
            ReserveOutcome outcome =
                    authority.reserve(
                            clock(), from, request.id(), request.customer(), request.tokens());
            recordGrant(request.customer(), outcome.granted());
            if (transfersEnabled && policy.grantsLeases()) {
                startTransfer(request.customer());
            }
            if (outcome.granted() > 0) {
                reservations.put(
                        new Reservation(id, from, request.id()),
                        new ReservedTokens(request.customer(), outcome.granted()));
            }
            return outcome;
        }

        private void startTransfer(CustomerId customer) {
            Optional<VmId> other = homeInOtherRegion(customer);
            if (other.isEmpty()) {
                return;
            }
            long number = nextId++;
            double wanted = authority.startTransfer(clock(), customer, number);
            if (wanted > 0) {
                transfers.put(number, customer);
                send(
                        id,
                        other.get(),
                        new ReserveRequest(number, customer, wanted, ReservePurpose.TRANSFER));
            }
        }

        private Optional<VmId> homeInOtherRegion(CustomerId customer) {
            RegionId other = REGIONS.get(1 - REGIONS.indexOf(region));
            List<VmId> vms =
                    listed.stream().filter(vm -> nodes.get(vm).region.equals(other)).toList();
            return Rendezvous.pick(customer.value(), vms, VmId::value);
        }

        private void settle(VmId from, Settle settle) {
            double returned = authority.settle(clock(), from, settle.id(), settle.unused());
            ReservedTokens reserved = reservations.remove(new Reservation(id, from, settle.id()));
            if (reserved != null) {
                recordGrant(reserved.customer(), -Math.min(returned, reserved.tokens()));
            }
        }

        private void request(CustomerId customer, double tokens) {
            List<VmId> fallbackSources = new ArrayList<>();
            if (policy == SharePolicy.DELEGATED) {
                homeInOtherRegion(customer).ifPresent(fallbackSources::add);
            } else if (policy == SharePolicy.NO_DELEGATION) {
                listed.stream().filter(vm -> !vm.equals(id)).sorted().forEach(fallbackSources::add);
            }
            TokenAcquisition acquisition =
                    new TokenAcquisition(
                            customer,
                            tokens,
                            grant.ratePerSecond(),
                            () -> fallbackSources,
                            () -> nextId++);
            ideal.recordSent(customer, now, tokens);
            sendRequests(acquisition, acquisition.start(authority.home(customer).orElse(id)));
        }

        private void sendRequests(TokenAcquisition acquisition, List<ReservationRequest> requests) {
            for (ReservationRequest reservationRequest : requests) {
                ReserveRequest request =
                        new ReserveRequest(
                                reservationRequest.id(),
                                reservationRequest.customer(),
                                reservationRequest.tokens(),
                                ReservePurpose.REQUEST);
                if (reservationRequest.to().equals(id)) {
                    ReserveOutcome taken = reserve(id, request);
                    sendRequests(
                            acquisition,
                            acquisition.onReply(
                                    reservationRequest.id(), taken.granted(), taken.share()));
                } else {
                    pending.put(
                            reservationRequest.id(),
                            new PendingRequest(acquisition, now + REQUEST_TIMEOUT_MILLIS));
                    remoteReservations++;
                    send(id, reservationRequest.to(), request);
                }
            }
            acquisition
                    .takeReservationsToReturn()
                    .forEach(reservation -> returnTokens(reservation, reservation.tokens()));
            finish(acquisition);
        }

        private void finish(TokenAcquisition acquisition) {
            if (acquisition.state() == TokenAcquisition.State.OPEN || !finished.add(acquisition)) {
                return;
            }
            if (acquisition.state() == TokenAcquisition.State.REFUSED) {
                OptionalLong wait = acquisition.retryDelay(maxRetryWaitMillis);
                if (wait.isPresent()) {
                    scheduledRetries.add(
                            new ScheduledRetry(now + wait.getAsLong(), acquisition.retry()));
                    return;
                }
                refused++;
                ideal.recordRefusal(acquisition.customer(), now, acquisition.tokens());
                return;
            }
            granted++;
            grantedInRegion +=
                    acquisition.reservations().size() == 1
                                    && isInThisRegion(acquisition.reservations().get(0))
                            ? 1
                            : 0;
            grantedTokens +=
                    acquisition.reservations().stream().mapToDouble(VmReservation::tokens).sum();
            double used = random.nextDouble() < unusedRate ? 0 : Double.MAX_VALUE;
            Settlement.unused(acquisition.reservations(), used)
                    .forEach(reservation -> returnTokens(reservation, reservation.tokens()));
        }

        private boolean isInThisRegion(VmReservation reservation) {
            return nodes.get(reservation.source()).region.equals(region);
        }

        private void returnTokens(VmReservation reservation, double tokens) {
            Settle settle = new Settle(reservation.id(), tokens);
            if (reservation.source().equals(id)) {
                settle(id, settle);
            } else {
                send(id, reservation.source(), settle);
            }
        }

        private void handleTimeout(long requestId) {
            PendingRequest pendingRequest = pending.remove(requestId);
            sendRequests(
                    pendingRequest.acquisition, pendingRequest.acquisition.onTimeout(requestId));
        }
    }

    /** Identifies a reservation at one VM. */
    private record Reservation(VmId home, VmId asker, long id) {}

    /** Reserved tokens, tracked independently of the code under test. */
    private record ReservedTokens(CustomerId customer, double tokens) {}

    /** A directed link between two VMs. */
    record Link(VmId from, VmId to) {}

    private record Delivery(long at, long number, VmId from, VmId to, PeerMessage message) {}

    private record PublishedList(long at, GatewayConfig config) {}

    private record ScheduledRetry(long atMillis, TokenAcquisition acquisition) {}

    private record PendingRequest(TokenAcquisition acquisition, long deadline) {}
}
