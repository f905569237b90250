package io.vanillapoint.core.idempotency;

import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.message.CompleteKey;
import io.vanillapoint.core.message.KeyOrigin;
import io.vanillapoint.core.message.KeyOutcome;
import io.vanillapoint.core.message.RegisterReply;
import io.vanillapoint.core.message.RegisterRequest;
import io.vanillapoint.core.message.StoredResponse;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Simulates VMs that run requests with idempotency keys, in virtual time and over an unreliable
 * network. Asserts that the request of a key never runs twice.
 */
final class IdempotencySimulation {
    static final long RETRY_PERIOD_MILLIS = 60_000;
    static final long LIST_LAG_MILLIS = 5_000;

    private static final long REPLY_TIMEOUT_MILLIS = 400;
    private static final int MAX_KEYS = 500;
    private static final int MAX_RESPONSE_BYTES = 1_000_000;
    private static final long ATTEMPT_TIMEOUT_MILLIS = 120_000;

    final Random random;
    final Map<VmId, Process> processes = new TreeMap<>();
    final Set<VmId> partitioned = new TreeSet<>();
    final Map<String, Integer> runs = new HashMap<>();
    double lossRate;
    boolean someMessagesAreLate = true;
    long now = 1_000_000;
    int decidedToRun;
    int refused;
    int replayed;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
    private final List<ListVersion> listVersions = new ArrayList<>();
    private final Set<VmId> listedVms = new TreeSet<>();
    private long nextNumber;
    private int nextVmNumber;

    IdempotencySimulation(long seed, int vms) {
        this.random = new Random(seed);
        for (int i = 0; i < vms; i++) {
            addVm();
        }
    }

    VmId addVm() {
        VmId id = new VmId("vm-" + nextVmNumber++);
        listedVms.add(id);
        listVersions.add(new ListVersion(now, Set.copyOf(listedVms)));
        startProcess(id);
        return id;
    }

    void removeVm(VmId id) {
        processes.remove(id);
        listedVms.remove(id);
        listVersions.add(new ListVersion(now, Set.copyOf(listedVms)));
    }

    /** Starts or restarts a process with an empty registry. */
    void startProcess(VmId id) {
        Process process = new Process(id);
        processes.put(id, process);
        process.readList();
    }

    VmId anyVm() {
        List<VmId> all = List.copyOf(processes.keySet());
        return all.get(random.nextInt(all.size()));
    }

    void advance(long millis) {
        long end = now + millis;
        while (!events.isEmpty() && events.peek().atMillis() <= end) {
            Event event = events.poll();
            now = Math.max(now, event.atMillis());
            event.action().run();
        }
        now = end;
    }

    void schedule(long delay, Runnable action) {
        events.add(new Event(now + delay, nextNumber++, action));
    }

    private void send(VmId from, VmId to, Consumer<Process> message) {
        boolean cut = partitioned.contains(from) != partitioned.contains(to);
        if (cut || random.nextDouble() < lossRate) {
            return;
        }
        boolean late = random.nextInt(20) == 0 && someMessagesAreLate;
        long extraDelay = late ? random.nextInt(3_000) : 0;
        schedule(
                1 + random.nextInt(5) + extraDelay,
                () -> Optional.ofNullable(processes.get(to)).ifPresent(message));
    }

    private void recordRun(String key) {
        if (runs.merge(key, 1, Integer::sum) > 1) {
            throw new AssertionError("request of idempotency key " + key + " ran more than once");
        }
    }

    /** One process of a VM. */
    final class Process {
        private final VmId id;
        private final KeyRegistry registry =
                new KeyRegistry(now, MAX_KEYS, MAX_RESPONSE_BYTES, ATTEMPT_TIMEOUT_MILLIS);
        private final KeyHomes homes;
        private final Map<Long, PendingReply> pendingReplies = new HashMap<>();
        private Set<VmId> vmList = Set.of();

        private Process(VmId id) {
            this.id = id;
            this.homes = new KeyHomes(id, RETRY_PERIOD_MILLIS, LIST_LAG_MILLIS);
        }

        private boolean isCurrent() {
            return processes.get(id) == this;
        }

        /** Periodically reads a list that is out of date by up to the lag. */
        private void readList() {
            if (!isCurrent()) {
                return;
            }
            long asOf = now - random.nextInt((int) LIST_LAG_MILLIS);
            Set<VmId> newest = listVersions.get(0).vms();
            for (ListVersion version : listVersions) {
                if (version.atMillis() <= asOf) {
                    newest = version.vms();
                }
            }
            vmList = newest;
            homes.updateVmList(now, vmList);
            schedule(200 + random.nextInt(300), this::readList);
        }

        /** Issues a key and passes it to the caller. */
        void issue(Consumer<String> caller) {
            List<VmId> chosen = new ArrayList<>(List.of(id));
            vmList.stream().filter(vm -> !vm.equals(id)).findAny().ifPresent(chosen::add);
            IssuedKey key = new IssuedKey(chosen, "k" + nextNumber++);
            register(
                    new KeyRegistration(key.text(), "", "", KeyOrigin.ISSUING, chosen, true),
                    decision -> {
                        if (decision.action() == KeyDecision.Action.RUN) {
                            caller.accept(key.text());
                        }
                    });
        }

        /** Runs one attempt. */
        void attempt(String key, boolean firstAttempt) {
            Optional<IssuedKey> issued = IssuedKey.parse(key);
            List<VmId> keyHomes =
                    issued.map(IssuedKey::homes).orElseGet(() -> KeyHomes.homes(key, vmList));
            KeyOrigin origin = issued.isPresent() ? KeyOrigin.ISSUED : KeyOrigin.CHOSEN;
            String attemptId = id + "-" + nextNumber++;
            KeyRegistration registration =
                    new KeyRegistration(key, attemptId, "same", origin, keyHomes, firstAttempt);
            register(registration, decision -> handleDecision(registration, key, decision));
        }

        private void handleDecision(
                KeyRegistration registration, String key, KeyDecision decision) {
            if (decision.action() != KeyDecision.Action.RUN) {
                replayed += decision.action() == KeyDecision.Action.REPLAY ? 1 : 0;
                refused += decision.action() == KeyDecision.Action.REPLAY ? 0 : 1;
                complete(registration, KeyOutcome.NOT_RUN);
                return;
            }
            decidedToRun++;
            schedule(
                    random.nextInt(10) == 0 ? random.nextInt(20_000) : 5,
                    () -> dispatch(registration, key));
        }

        /** The upstream runs the request, loses the response, or can't be reached. */
        private void dispatch(KeyRegistration registration, String key) {
            if (!isCurrent()) {
                return;
            }
            int roll = random.nextInt(10);
            if (roll == 0) {
                complete(registration, KeyOutcome.NOT_RUN);
                return;
            }
            recordRun(key);
            schedule(
                    20,
                    () ->
                            complete(
                                    registration,
                                    roll == 1 ? KeyOutcome.UNKNOWN : KeyOutcome.ANSWERED));
        }

        private void complete(KeyRegistration registration, KeyOutcome outcome) {
            Optional<StoredResponse> response =
                    outcome == KeyOutcome.ANSWERED
                            ? Optional.of(new StoredResponse(200, "text/plain", new byte[1]))
                            : Optional.empty();
            CompleteKey message = registration.completion(outcome, response);
            for (VmId home : registration.homes()) {
                if (isCurrent()) {
                    send(id, home, process -> process.registry.complete(message));
                }
            }
        }

        private void register(KeyRegistration registration, Consumer<KeyDecision> onDecision) {
            register(registration, registration.homes(), onDecision);
        }

        private void register(
                KeyRegistration registration,
                List<VmId> receivers,
                Consumer<KeyDecision> onDecision) {
            for (VmId home : receivers) {
                long exchangeId = nextNumber++;
                PendingReply pendingReply = new PendingReply(registration, onDecision);
                pendingReplies.put(exchangeId, pendingReply);
                RegisterRequest request = registration.request(exchangeId);
                send(id, home, process -> process.handleRegister(id, home, request));
                schedule(
                        REPLY_TIMEOUT_MILLIS,
                        () -> resolve(exchangeId, () -> registration.onTimeout(home)));
            }
        }

        private void handleRegister(VmId requester, VmId home, RegisterRequest request) {
            boolean canProveAbsence =
                    homes.canProveAbsence(
                            now, registry.completeSinceMillis(), request.key(), vm -> true);
            RegisterReply reply = registry.register(now, request, canProveAbsence);
            send(
                    id,
                    requester,
                    process ->
                            process.resolve(
                                    reply.id(),
                                    () -> process.recordReply(reply.id(), home, reply)));
        }

        private void recordReply(long exchangeId, VmId home, RegisterReply reply) {
            pendingReplies.get(exchangeId).registration.onReply(home, reply);
        }

        private void resolve(long exchangeId, Runnable change) {
            PendingReply pendingReply = pendingReplies.get(exchangeId);
            if (pendingReply == null || !isCurrent()) {
                return;
            }
            change.run();
            pendingReplies.remove(exchangeId);
            pendingReply.registration.decision().ifPresent(now -> decide(pendingReply, now));
        }

        private void decide(PendingReply pendingReply, KeyDecision decision) {
            KeyRegistration registration = pendingReply.registration();
            List<VmId> askedAgain = registration.startRepeat();
            if (askedAgain.isEmpty()) {
                pendingReply.onDecision().accept(decision);
                return;
            }
            schedule(
                    KeyRegistration.REPEAT_DELAY_MILLIS,
                    () -> {
                        if (isCurrent()) {
                            register(registration, askedAgain, pendingReply.onDecision());
                        }
                    });
        }
    }

    /** A registration message that awaits its reply. */
    private record PendingReply(KeyRegistration registration, Consumer<KeyDecision> onDecision) {}

    private record Event(long atMillis, long sequence, Runnable action) {}

    private record ListVersion(long atMillis, Set<VmId> vms) {}
}
