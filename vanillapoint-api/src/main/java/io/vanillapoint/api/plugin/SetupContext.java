package io.vanillapoint.api.plugin;

import java.util.function.Supplier;

/** Registry for the extensions of a {@link GatewayModule}. Used by one thread, at startup. */
public interface SetupContext {
    /**
     * Adds a protocol that callers speak.
     *
     * @param protocol the protocol
     */
    void addProtocol(RequestProtocol protocol);

    /**
     * Adds a policy for the selection of an upstream.
     *
     * @param name name used in the settings
     * @param factory creates one instance for each process
     */
    void addUpstreamPolicy(String name, Supplier<UpstreamPolicy> factory);
}
