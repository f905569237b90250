package io.vanillapoint.server.protocol;

import io.vanillapoint.api.plugin.GatewayModule;
import io.vanillapoint.api.plugin.SetupContext;

/** Registers the protocols that the project brings. Stateless. */
public final class StandardProtocolModule implements GatewayModule {
    @Override
    public String moduleName() {
        return "standard-protocols";
    }

    @Override
    public void setup(SetupContext context) {
        context.addProtocol(new ChatProtocol());
        context.addProtocol(new ServiceProtocol());
    }
}
