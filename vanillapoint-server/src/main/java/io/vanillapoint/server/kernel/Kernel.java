package io.vanillapoint.server.kernel;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.plugin.GatewayModule;
import io.vanillapoint.api.plugin.RequestProtocol;
import io.vanillapoint.api.plugin.SetupContext;
import io.vanillapoint.api.plugin.UpstreamPolicy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.ServiceLoader;
import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * Registry of the request protocols and upstream policies that plug-ins provide.
 *
 * <p>Invariant: each policy name is registered once. Immutable and safe for use by several threads.
 */
public final class Kernel {
    private final List<RequestProtocol> protocols;
    private final Map<String, Supplier<UpstreamPolicy>> policies;

    private Kernel(Registrations registrations) {
        this.protocols = List.copyOf(registrations.protocols);
        this.policies = Map.copyOf(registrations.policies);
    }

    /**
     * Loads all plug-ins on the class path.
     *
     * @return the kernel
     * @throws VanillapointException if two plug-ins register the same policy name
     */
    public static Kernel load() {
        Registrations registrations = new Registrations();
        for (GatewayModule module : ServiceLoader.load(GatewayModule.class)) {
            registrations.moduleName = module.moduleName();
            module.setup(registrations);
        }
        return new Kernel(registrations);
    }

    /**
     * Finds the protocol that handles a path.
     *
     * @param path path without the query
     * @return the protocol, if any
     */
    public Optional<RequestProtocol> protocol(String path) {
        return protocols.stream().filter(protocol -> protocol.matches(path)).findFirst();
    }

    /**
     * Creates an upstream policy.
     *
     * @param name name from the settings
     * @return a new instance
     * @throws VanillapointException if no plug-in registers the name
     */
    public UpstreamPolicy upstreamPolicy(String name) {
        Supplier<UpstreamPolicy> factory = policies.get(name);
        if (factory == null) {
            throw new VanillapointException(
                    ErrorCode.INVALID_SETTINGS,
                    "--upstream-policy",
                    "expected one of " + new TreeMap<>(policies).keySet() + ", got '" + name + "'");
        }
        return factory.get();
    }

    /** Collects registrations while the plug-ins are set up. Used by one thread. */
    private static final class Registrations implements SetupContext {
        private final List<RequestProtocol> protocols = new ArrayList<>();
        private final Map<String, Supplier<UpstreamPolicy>> policies = new TreeMap<>();
        private String moduleName = "";

        @Override
        public void addProtocol(RequestProtocol protocol) {
            protocols.add(protocol);
        }

        @Override
        public void addUpstreamPolicy(String name, Supplier<UpstreamPolicy> factory) {
            if (policies.putIfAbsent(name, factory) != null) {
                throw new VanillapointException(
                        ErrorCode.INVALID_SETTINGS,
                        "module " + moduleName,
                        "upstream policy '" + name + "' is registered twice");
            }
        }
    }
}
