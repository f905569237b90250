package io.vanillapoint.server.protocol;

import io.vanillapoint.api.plugin.GatewayModule;
import io.vanillapoint.api.plugin.SetupContext;

/** Registers the built-in protocols. Stateless. */
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
