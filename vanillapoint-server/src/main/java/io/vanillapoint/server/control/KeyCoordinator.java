package io.vanillapoint.server.control;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.model.Customer;
import io.vanillapoint.api.model.CustomerId;
import io.vanillapoint.api.model.GatewayConfig;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.Vm;
import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.idempotency.IssuedKey;
import io.vanillapoint.core.idempotency.KeyDecision;
import io.vanillapoint.core.idempotency.KeyHomes;
import io.vanillapoint.core.idempotency.KeyRegistration;
import io.vanillapoint.core.idempotency.KeyRegistry;
import io.vanillapoint.core.message.CompleteKey;
import io.vanillapoint.core.message.KeyOrigin;
import io.vanillapoint.core.message.KeyOutcome;
import io.vanillapoint.core.message.PeerMessage;
import io.vanillapoint.core.message.RegisterReply;
import io.vanillapoint.core.message.RegisterRequest;
import io.vanillapoint.core.message.StoredResponse;
import io.vanillapoint.server.MonotonicTime;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * Ensures that a request with an idempotency key runs at most once. Holds this VM's registry of
 * keys and registers the keys of its own requests with their home VMs, which remember them.
 * Confined to the control thread.
 */
final class KeyCoordinator {
    private static final int MAX_KEYS = 50_000;
    private static final long MAX_STORED_ANSWER_BYTES = 8L * 1024 * 1024;
    private static final long RUNNING_EXPIRY_MILLIS = TimeUnit.MINUTES.toMillis(2);
    private static final long REPEAT_WINDOW_MILLIS = TimeUnit.MINUTES.toMillis(1);
    private static final int KEY_RANDOM_BYTES = 16;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final Vertx vertx;
    private final ControlIdentity identity;
    private final BiConsumer<VmId, PeerMessage> send;
    private final Supplier<GatewayConfig> config;
    private final KeyRegistry registry;
    private final KeyHomes homes;
    private final SecureRandom random = new SecureRandom();
    private final Map<Long, PendingRegistration> pending = new HashMap<>();
    private long nextExchangeId;

    KeyCoordinator(
            Vertx vertx,
            ControlIdentity identity,
            long listLagMillis,
            BiConsumer<VmId, PeerMessage> send,
            Supplier<GatewayConfig> config) {
        this.vertx = vertx;
        this.identity = identity;
        this.send = send;
        this.config = config;
        this.nextExchangeId = identity.firstExchangeId();
        this.registry =
                new KeyRegistry(
                        MonotonicTime.millis(),
                        MAX_KEYS,
                        MAX_STORED_ANSWER_BYTES,
                        RUNNING_EXPIRY_MILLIS);
        this.homes = new KeyHomes(identity.vm(), REPEAT_WINDOW_MILLIS, listLagMillis);
    }

    /** Updates the list of VMs from the platform. */
    void updateVmList(GatewayConfig newConfig) {
        homes.updateVmList(MonotonicTime.millis(), newConfig.vms().keySet());
    }

    /** Issues a key. Two VMs store it as unused before the caller receives it. */
    Future<String> issue(Customer customer, List<Vm> liveVms) {
        List<VmId> keyHomes = new ArrayList<>(List.of(identity.vm()));
        liveVms.stream()
                .map(Vm::id)
                .filter(vm -> !vm.equals(identity.vm()))
                .limit(KeyHomes.HOMES - 1L)
                .forEach(keyHomes::add);
        byte[] bytes = new byte[KEY_RANDOM_BYTES];
        random.nextBytes(bytes);
        IssuedKey key = new IssuedKey(keyHomes, HexFormat.of().formatHex(bytes));
        KeyRegistration registration =
                new KeyRegistration(
                        scopedKey(customer, key.text()), "", "", KeyOrigin.ISSUING, keyHomes, true);
        return sendToHomes(registration)
                .compose(
                        decision ->
                                decision.action() == KeyDecision.Action.RUN
                                        ? Future.succeededFuture(key.text())
                                        : Future.failedFuture(registryUnavailable()));
    }

    /** Registers an attempt with the home VMs of its key. */
    Future<RegisteredKey> register(
            Customer customer, PresentedKey key, String attempt, String fingerprint) {
        Optional<IssuedKey> issued = IssuedKey.parse(key.text());
        String scopedKey = scopedKey(customer, key.text());
        List<VmId> keyHomes =
                issued.map(IssuedKey::homes).orElseGet(() -> homesOfChosenKey(customer, scopedKey));
        KeyRegistration registration =
                new KeyRegistration(
                        scopedKey,
                        attempt,
                        fingerprint,
                        issued.isPresent() ? KeyOrigin.ISSUED : KeyOrigin.CHOSEN,
                        keyHomes,
                        key.firstAttempt());
        return sendToHomes(registration).map(decision -> new RegisteredKey(registration, decision));
    }

    /** Reports the outcome of an attempt to the home VMs of its key. */
    void complete(
            KeyRegistration registration, KeyOutcome outcome, Optional<StoredResponse> response) {
        CompleteKey message = registration.completion(outcome, response);
        for (VmId home : registration.homes()) {
            if (home.equals(identity.vm())) {
                registry.complete(message);
            } else {
                send.accept(home, message);
            }
        }
    }

    /** Handles a registration from another VM. */
    RegisterReply handleRequest(RegisterRequest request) {
        return registry.register(MonotonicTime.millis(), request, isCertain(request));
    }

    /** Records the outcome of another VM's attempt. */
    void complete(CompleteKey message) {
        registry.complete(message);
    }

    /** Handles a registration reply from another VM. */
    void handleReply(VmId from, RegisterReply reply) {
        PendingRegistration pendingRegistration = pending.remove(reply.id());
        if (pendingRegistration != null) {
            pendingRegistration.registration.onReply(from, reply);
            completeIfDecided(pendingRegistration);
        }
    }

    private Future<KeyDecision> sendToHomes(KeyRegistration registration) {
        Promise<KeyDecision> promise = Promise.promise();
        PendingRegistration pendingRegistration = new PendingRegistration(registration, promise);
        send(pendingRegistration, registration.homes());
        if (registration.homes().isEmpty()) {
            completeIfDecided(pendingRegistration);
        }
        return promise.future();
    }

    private void send(PendingRegistration pendingRegistration, List<VmId> receivers) {
        KeyRegistration registration = pendingRegistration.registration;
        for (VmId home : receivers) {
            long id = nextExchangeId++;
            if (home.equals(identity.vm())) {
                registration.onReply(home, handleRequest(registration.request(id)));
                completeIfDecided(pendingRegistration);
                continue;
            }
            pending.put(id, pendingRegistration);
            send.accept(home, registration.request(id));
            vertx.setTimer(identity.peerTimeoutMillis(), timer -> onReplyTimeout(id, home));
        }
    }

    private void onReplyTimeout(long id, VmId home) {
        PendingRegistration pendingRegistration = pending.remove(id);
        if (pendingRegistration != null) {
            pendingRegistration.registration.onTimeout(home);
            completeIfDecided(pendingRegistration);
        }
    }

    private void completeIfDecided(PendingRegistration pendingRegistration) {
        KeyRegistration registration = pendingRegistration.registration;
        Optional<KeyDecision> decision = registration.decision();
        if (decision.isEmpty()) {
            return;
        }
        List<VmId> askedAgain = registration.startRepeat();
        if (askedAgain.isEmpty()) {
            pendingRegistration.promise.tryComplete(decision.get());
        } else {
            vertx.setTimer(
                    KeyRegistration.REPEAT_DELAY_MILLIS,
                    timer -> send(pendingRegistration, askedAgain));
        }
    }

    private boolean isCertain(RegisterRequest request) {
        Optional<Customer> customer = customerOf(request.key());
        return customer.isPresent()
                && homes.canProveAbsence(
                        MonotonicTime.millis(),
                        registry.completeSinceMillis(),
                        request.key(),
                        vm -> isInHomeRegion(customer.get(), vm));
    }

    private List<VmId> homesOfChosenKey(Customer customer, String scopedKey) {
        List<VmId> eligible =
                config.get().vms().keySet().stream()
                        .filter(vm -> isInHomeRegion(customer, vm))
                        .toList();
        return KeyHomes.homes(scopedKey, eligible);
    }

    private boolean isInHomeRegion(Customer customer, VmId vm) {
        Vm listed = config.get().vms().get(vm);
        return listed != null && listed.region().equals(homeRegion(customer));
    }

    /** The permitted region with the largest weight; ties go to the first name. */
    private static RegionId homeRegion(Customer customer) {
        Comparator<Map.Entry<RegionId, Double>> byWeight =
                Comparator.comparingDouble(Map.Entry::getValue);
        return customer.regionWeights().entrySet().stream()
                .max(byWeight.thenComparing(Map.Entry::getKey, Comparator.reverseOrder()))
                .orElseThrow()
                .getKey();
    }

    private static String scopedKey(Customer customer, String key) {
        return customer.id() + "\n" + key;
    }

    private Optional<Customer> customerOf(String scopedKey) {
        String name = scopedKey.substring(0, Math.max(0, scopedKey.indexOf('\n')));
        if (name.isEmpty()) {
            return Optional.empty();
        }
        return Optional.ofNullable(config.get().customers().get(new CustomerId(name)));
    }

    private static VanillapointException registryUnavailable() {
        return VanillapointException.refusal(
                ErrorCode.REGISTRY_UNAVAILABLE,
                "too few VMs could be asked to remember the key",
                RETRY_AFTER);
    }

    /** A registration that waits for replies. */
    private record PendingRegistration(
            KeyRegistration registration, Promise<KeyDecision> promise) {}
}
