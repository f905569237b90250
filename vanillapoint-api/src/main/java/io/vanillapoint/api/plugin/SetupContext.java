package io.vanillapoint.api.plugin;

import java.util.function.Supplier;

/** Where a {@link GatewayModule} registers what it brings. Used by one thread, at the start. */
public interface SetupContext {
    /**
     * Adds a protocol that callers speak.
     *
     * @param protocol the protocol
     */
    void addProtocol(RequestProtocol protocol);

    /**
     * Adds a way to choose an upstream.
     *
     * @param name name for the settings
     * @param factory creates one instance for each process
     */
    void addUpstreamPolicy(String name, Supplier<UpstreamPolicy> factory);
}
