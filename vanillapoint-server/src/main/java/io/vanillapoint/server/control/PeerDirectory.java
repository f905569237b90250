package io.vanillapoint.server.control;

import io.vanillapoint.api.model.Customer;
import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.api.model.GatewayConfig;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.Vm;
import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.hash.Rendezvous;
import io.vanillapoint.core.message.PeerMessage;
import io.vanillapoint.server.peer.ControlLinks;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;

/**
 * Looks up and sends messages to the other VMs that the platform lists. Confined to the control
 * thread.
 */
final class PeerDirectory {
    private final VmId self;
    private final RegionId region;
    private final ControlLinks links;
    private final Supplier<GatewayConfig> config;

    PeerDirectory(VmId self, RegionId region, ControlLinks links, Supplier<GatewayConfig> config) {
        this.self = self;
        this.region = region;
        this.links = links;
        this.config = config;
    }

    /** Sends a message. Does nothing if the VM is not listed. */
    void send(VmId to, PeerMessage message) {
        Vm vm = config.get().vms().get(to);
        if (vm != null) {
            links.send(to, vm.peers(), message);
        }
    }

    /** Sends a message to a random other VM, or to all seeds if no other VM is listed. */
    void sendToAny(PeerMessage message, List<Endpoint> seeds) {
        List<VmId> others = new ArrayList<>(config.get().vms().keySet());
        others.remove(self);
        if (!others.isEmpty()) {
            send(others.get(ThreadLocalRandom.current().nextInt(others.size())), message);
            return;
        }
        for (Endpoint seed : seeds) {
            links.send(new VmId("seed " + seed), seed, message);
        }
    }

    boolean isReachable(Vm vm) {
        return links.isReachable(vm.id());
    }

    /** A random reachable VM of a region. */
    Optional<VmId> randomVmIn(RegionId targetRegion) {
        List<VmId> candidates =
                config.get().vms().values().stream()
                        .filter(vm -> vm.region().equals(targetRegion) && isReachable(vm))
                        .map(Vm::id)
                        .toList();
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(candidates.get(ThreadLocalRandom.current().nextInt(candidates.size())));
    }

    /**
     * Lists the VMs that a caller can connect to.
     *
     * @param customer the caller's customer
     * @param live VMs of this region that are alive
     * @return VMs of permitted regions that admit requests, this region's first; each group is in
     *     rendezvous order, so the customer's home VM comes first
     */
    List<Vm> entries(Customer customer, Set<VmId> live) {
        List<Vm> local = new ArrayList<>();
        List<Vm> remote = new ArrayList<>();
        for (Vm vm : config.get().vms().values()) {
            if (!vm.state().acceptsRequests() || !customer.permits(vm.region())) {
                continue;
            }
            if (vm.region().equals(region)) {
                if (live.contains(vm.id())) {
                    local.add(vm);
                }
            } else if (isReachable(vm)) {
                remote.add(vm);
            }
        }
        List<Vm> ordered = rankForCustomer(customer, local);
        ordered.addAll(rankForCustomer(customer, remote));
        return ordered;
    }

    private static List<Vm> rankForCustomer(Customer customer, List<Vm> vms) {
        return Rendezvous.rank(customer.id().value(), vms, vm -> vm.id().value());
    }
}
