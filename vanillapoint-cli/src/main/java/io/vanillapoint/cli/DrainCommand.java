package io.vanillapoint.cli;

import io.vertx.core.http.HttpMethod;

/** Tells VMs to finish their work and end. A second call cuts what still runs. */
final class DrainCommand extends OperatorCommand {
    @Override
    String summary() {
        return "let VMs finish their work and end";
    }

    @Override
    int run(Console console) {
        for (String address : addresses()) {
            ask(HttpMethod.POST, address, "/drain");
        }
        return ExitCode.DONE;
    }
}
