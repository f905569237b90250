package io.vanillapoint.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.http.HttpMethod;
import org.kohsuke.args4j.Argument;

/** Asks a VM for the list of VMs that the holder of a key should use. */
final class EntriesCommand extends RemoteCommand {
    @Argument(
            metaVar = "IP:PORT",
            required = true,
            usage = "address of a VM's listener for callers")
    private String address;

    @Override
    String summary() {
        return "list the VMs to use";
    }

    @Override
    int run(Console console) {
        JsonNode answer = send(HttpMethod.GET, address, "/entries");
        if (jsonRequested()) {
            console.out().println(answer);
            return ExitCode.SUCCESS;
        }
        for (JsonNode entry : answer.path("entries")) {
            console.out()
                    .printf(
                            "%-16s %-16s %s%n",
                            entry.path("vm").asText(),
                            entry.path("region").asText(),
                            entry.path("address").asText());
        }
        return ExitCode.SUCCESS;
    }
}
