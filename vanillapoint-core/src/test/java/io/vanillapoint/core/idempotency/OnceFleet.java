package io.vanillapoint.core.idempotency;

import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.message.CompleteKey;
import io.vanillapoint.core.message.KeyOrigin;
import io.vanillapoint.core.message.KeyOutcome;
import io.vanillapoint.core.message.RegisterReply;
import io.vanillapoint.core.message.RegisterRequest;
import io.vanillapoint.core.message.StoredAnswer;
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
final class OnceFleet {
    static final long REPEAT_MILLIS = 60_000;
    static final long LIST_LAG_MILLIS = 5_000;

    private static final long ASK_MILLIS = 400;
    private static final int MAX_KEYS = 500;
    private static final int MAX_BYTES = 1_000_000;
    private static final long RUNNING_MILLIS = 120_000;

    final Random random;
    final Map<VmId, Process> processes = new TreeMap<>();
    final Set<VmId> cutOff = new TreeSet<>();
    final Map<String, Integer> runs = new HashMap<>();
    double lossRate;
    long now = 1_000_000;
    int decidedToRun;
    int refused;
    int replayed;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final List<Listing> listings = new ArrayList<>();
    private final Set<VmId> listed = new TreeSet<>();
    private long numbers;
    private int names;

    OnceFleet(long seed, int vms) {
        this.random = new Random(seed);
        for (int i = 0; i < vms; i++) {
            addVm();
        }
    }

    VmId addVm() {
        VmId id = new VmId("vm-" + names++);
        listed.add(id);
        listings.add(new Listing(now, Set.copyOf(listed)));
        start(id);
        return id;
    }

    void remove(VmId id) {
        processes.remove(id);
        listed.remove(id);
        listings.add(new Listing(now, Set.copyOf(listed)));
    }

    /** Starts or restarts a process with an empty registry. */
    void start(VmId id) {
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
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            now = Math.max(now, event.at());
            event.action().run();
        }
        now = end;
    }

    void at(long delay, Runnable action) {
        events.add(new Event(now + delay, numbers++, action));
    }

    private void send(VmId from, VmId to, Consumer<Process> message) {
        boolean cut = cutOff.contains(from) != cutOff.contains(to);
        if (cut || random.nextDouble() < lossRate) {
            return;
        }
        long late = random.nextInt(20) == 0 ? random.nextInt(3_000) : 0;
        at(
                1 + random.nextInt(5) + late,
                () -> Optional.ofNullable(processes.get(to)).ifPresent(message));
    }

    private void run(String key) {
        if (runs.merge(key, 1, Integer::sum) > 1) {
            throw new AssertionError("request of idempotency key " + key + " ran more than once");
        }
    }

    /** One process of a VM. */
    final class Process {
        private final VmId id;
        private final KeyRegistry registry =
                new KeyRegistry(now, MAX_KEYS, MAX_BYTES, RUNNING_MILLIS);
        private final KeyHomes homes;
        private final Map<Long, Question> open = new HashMap<>();
        private Set<VmId> list = Set.of();

        private Process(VmId id) {
            this.id = id;
            this.homes = new KeyHomes(id, REPEAT_MILLIS, LIST_LAG_MILLIS);
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
            Set<VmId> newest = listings.get(0).vms();
            for (Listing listing : listings) {
                if (listing.at() <= asOf) {
                    newest = listing.vms();
                }
            }
            list = newest;
            homes.acceptList(now, list);
            at(200 + random.nextInt(300), this::readList);
        }

        /** Issues a key and passes it to the caller. */
        void issue(Consumer<String> caller) {
            List<VmId> chosen = new ArrayList<>(List.of(id));
            list.stream().filter(vm -> !vm.equals(id)).findAny().ifPresent(chosen::add);
            IssuedKey key = new IssuedKey(chosen, "k" + numbers++);
            ask(
                    new KeyRegistration(key.text(), "", "", KeyOrigin.ISSUING, chosen, true),
                    decision -> {
                        if (decision.action() == KeyDecision.Action.RUN) {
                            caller.accept(key.text());
                        }
                    });
        }

        /** Runs one attempt. */
        void attempt(String key, boolean first) {
            Optional<IssuedKey> issued = IssuedKey.parse(key);
            List<VmId> remembering =
                    issued.map(IssuedKey::homes).orElseGet(() -> KeyHomes.homes(key, list));
            KeyOrigin origin = issued.isPresent() ? KeyOrigin.ISSUED : KeyOrigin.CHOSEN;
            String name = id + "-" + numbers++;
            KeyRegistration registration =
                    new KeyRegistration(key, name, "same", origin, remembering, first);
            ask(registration, decision -> decided(registration, key, decision));
        }

        private void decided(KeyRegistration registration, String key, KeyDecision decision) {
            if (decision.action() != KeyDecision.Action.RUN) {
                replayed += decision.action() == KeyDecision.Action.REPLAY ? 1 : 0;
                refused += decision.action() == KeyDecision.Action.REPLAY ? 0 : 1;
                end(registration, KeyOutcome.NOT_RUN);
                return;
            }
            decidedToRun++;
            at(
                    random.nextInt(10) == 0 ? random.nextInt(20_000) : 5,
                    () -> dispatch(registration, key));
        }

        /** The upstream runs the request, loses the response, or can't be reached. */
        private void dispatch(KeyRegistration registration, String key) {
            if (!isCurrent()) {
                return;
            }
            int luck = random.nextInt(10);
            if (luck == 0) {
                end(registration, KeyOutcome.NOT_RUN);
                return;
            }
            run(key);
            at(20, () -> end(registration, luck == 1 ? KeyOutcome.UNKNOWN : KeyOutcome.ANSWERED));
        }

        private void end(KeyRegistration registration, KeyOutcome outcome) {
            Optional<StoredAnswer> answer =
                    outcome == KeyOutcome.ANSWERED
                            ? Optional.of(new StoredAnswer(200, "text/plain", new byte[1]))
                            : Optional.empty();
            CompleteKey message = registration.completion(outcome, answer);
            for (VmId home : registration.homes()) {
                if (isCurrent()) {
                    send(id, home, process -> process.registry.complete(message));
                }
            }
        }

        private void ask(KeyRegistration registration, Consumer<KeyDecision> then) {
            for (VmId home : registration.homes()) {
                long number = numbers++;
                Question question = new Question(registration, then);
                open.put(number, question);
                RegisterRequest request = registration.request(number);
                send(id, home, process -> process.answer(id, home, request));
                at(ASK_MILLIS, () -> finish(number, () -> registration.noAnswer(home)));
            }
        }

        private void answer(VmId asker, VmId home, RegisterRequest request) {
            boolean certain =
                    homes.isCertain(now, registry.certainSinceMillis(), request.key(), vm -> true);
            RegisterReply reply = registry.register(now, request, certain);
            send(
                    id,
                    asker,
                    process ->
                            process.finish(
                                    reply.id(), () -> process.accept(reply.id(), home, reply)));
        }

        private void accept(long number, VmId home, RegisterReply reply) {
            open.get(number).registration.answer(home, reply);
        }

        private void finish(long number, Runnable change) {
            Question question = open.get(number);
            if (question == null || !isCurrent()) {
                return;
            }
            change.run();
            open.remove(number);
            question.registration.decision().ifPresent(question.then());
        }
    }

    /** A registration message that awaits its reply. */
    private record Question(KeyRegistration registration, Consumer<KeyDecision> then) {}

    private record Event(long at, long number, Runnable action) {}

    private record Listing(long at, Set<VmId> vms) {}
}
