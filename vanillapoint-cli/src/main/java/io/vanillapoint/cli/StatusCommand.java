package io.vanillapoint.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.vanillapoint.api.error.VanillapointException;
import io.vertx.core.http.HttpMethod;

/** Prints the state of VMs; continues if one cannot be reached. */
final class StatusCommand extends OperatorCommand {
    @Override
    String summary() {
        return "print the state of VMs";
    }

    @Override
    int run(Console console) {
        int exit = ExitCode.SUCCESS;
        for (String address : addresses()) {
            try {
                print(console, send(HttpMethod.GET, address, "/status"));
            } catch (VanillapointException e) {
                console.err().println(address + ": " + e.getMessage());
                exit = ExitCode.FAILURE;
            }
        }
        return exit;
    }

    private void print(Console console, JsonNode status) {
        if (jsonRequested()) {
            console.out().println(status);
            return;
        }
        console.out()
                .printf(
                        "%-16s %-16s revision %-6d share %.3f%s running %d waiting %d%s%n",
                        status.path("vm").asText(),
                        status.path("region").asText(),
                        status.path("config_revision").asLong(),
                        status.path("base_share").asDouble(),
                        status.path("share_active").asBoolean() ? "" : " (newcomer)",
                        status.path("running").asInt(),
                        status.path("waiting").asInt(),
                        status.path("draining").asBoolean() ? " draining" : "");
    }
}
