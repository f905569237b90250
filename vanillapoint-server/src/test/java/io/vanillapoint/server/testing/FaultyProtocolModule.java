package io.vanillapoint.server.testing;

import io.vanillapoint.api.model.GatewayConfig;
import io.vanillapoint.api.model.UpstreamKind;
import io.vanillapoint.api.plugin.GatewayModule;
import io.vanillapoint.api.plugin.RequestPlan;
import io.vanillapoint.api.plugin.RequestProtocol;
import io.vanillapoint.api.plugin.RequestView;
import io.vanillapoint.api.plugin.SetupContext;
import io.vanillapoint.api.plugin.UsageMeter;

/** Registers a protocol that throws at the step that the last part of the path names. Stateless. */
public final class FaultyProtocolModule implements GatewayModule {
    private static final String PREFIX = "/faulty/";

    @Override
    public String moduleName() {
        return "faulty-protocol";
    }

    @Override
    public void setup(SetupContext context) {
        context.addProtocol(new FaultyProtocol());
    }

    private static void failAt(String step, String path) {
        if (path.equals(PREFIX + step)) {
            throw new IllegalStateException("faulty " + step);
        }
        if (path.equals(PREFIX + "memory/" + step)) {
            throw new OutOfMemoryError("faulty " + step);
        }
    }

    private static final class FaultyProtocol implements RequestProtocol {
        @Override
        public boolean matches(String path) {
            return path.startsWith(PREFIX);
        }

        @Override
        public boolean isOpen(String path, GatewayConfig config) {
            failAt("route", path);
            return false;
        }

        @Override
        public RequestPlan plan(RequestView call, GatewayConfig config) {
            failAt("plan", call.path());
            return new RequestPlan(
                    UpstreamKind.SERVICE,
                    "read",
                    call.path(),
                    call.body(),
                    false,
                    true,
                    10,
                    "read",
                    true);
        }

        @Override
        public UsageMeter meter(RequestPlan plan) {
            return new FaultyMeter(plan.uri());
        }
    }

    private record FaultyMeter(String path) implements UsageMeter {
        @Override
        public void onHead(int status, String contentType) {
            failAt("head", path);
        }

        @Override
        public void onData(byte[] bytes) {
            failAt("data", path);
        }

        @Override
        public boolean isComplete() {
            failAt("end", path);
            return true;
        }

        @Override
        public long usedTokens(long reserved) {
            failAt("usage", path);
            return reserved;
        }
    }
}
