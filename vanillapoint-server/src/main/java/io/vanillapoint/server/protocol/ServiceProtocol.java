package io.vanillapoint.server.protocol;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.model.GatewayConfig;
import io.vanillapoint.api.model.ServiceDeclaration;
import io.vanillapoint.api.model.UpstreamKind;
import io.vanillapoint.api.plugin.RequestPlan;
import io.vanillapoint.api.plugin.RequestProtocol;
import io.vanillapoint.api.plugin.RequestView;
import io.vanillapoint.api.plugin.UsageMeter;

/**
 * Plain HTTP services under {@code /services/NAME/...}. The upstream receives the path after the
 * name. Stateless and thread-safe.
 */
public final class ServiceProtocol implements RequestProtocol {
    private static final String PREFIX = "/services/";

    @Override
    public boolean matches(String path) {
        return path.startsWith(PREFIX) && path.length() > PREFIX.length();
    }

    @Override
    public boolean isOpen(String path, GatewayConfig config) {
        return config.service(serviceName(path)).map(ServiceDeclaration::openToAll).orElse(false);
    }

    @Override
    public RequestPlan plan(RequestView call, GatewayConfig config) {
        String name = serviceName(call.path());
        ServiceDeclaration service =
                config.service(name)
                        .orElseThrow(
                                () ->
                                        new VanillapointException(
                                                ErrorCode.NOT_FOUND,
                                                "path",
                                                "expected a declared service, got '" + name + "'"));
        String pathAfterName = call.path().substring(PREFIX.length() + name.length());
        String path = pathAfterName.isEmpty() ? "/" : pathAfterName;
        String uri = call.query().isEmpty() ? path : path + "?" + call.query();
        return new RequestPlan(
                UpstreamKind.SERVICE,
                name,
                uri,
                call.body(),
                service.openToAll(),
                service.idempotent().isIdempotent(call.method()),
                service.tokensPerCall(),
                name + path,
                true);
    }

    @Override
    public UsageMeter meter(RequestPlan plan) {
        return new FixedCostMeter();
    }

    private static String serviceName(String path) {
        int end = path.indexOf('/', PREFIX.length());
        return end < 0 ? path.substring(PREFIX.length()) : path.substring(PREFIX.length(), end);
    }
}
