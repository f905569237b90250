package io.vanillapoint.core.routing;

import io.vanillapoint.api.plugin.GatewayModule;
import io.vanillapoint.api.plugin.SetupContext;

/** Registers the built-in upstream policies. Stateless. */
public final class CorePolicyModule implements GatewayModule {
    @Override
    public String moduleName() {
        return "core-policies";
    }

    @Override
    public void setup(SetupContext context) {
        for (UpstreamPolicies policy : UpstreamPolicies.values()) {
            context.addUpstreamPolicy(policy.policyName(), () -> policy);
        }
    }
}
