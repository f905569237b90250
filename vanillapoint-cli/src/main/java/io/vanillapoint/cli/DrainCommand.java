package io.vanillapoint.cli;

import io.vertx.core.http.HttpMethod;

/**
 * Tells VMs to finish their running requests and stop. A second call aborts the remaining requests.
 */
final class DrainCommand extends OperatorCommand {
    @Override
    String summary() {
        return "tell VMs to finish their running requests and stop";
    }

    @Override
    int run(Console console) {
        for (String address : addresses()) {
            send(HttpMethod.POST, address, "/drain");
        }
        return ExitCode.SUCCESS;
    }
}
