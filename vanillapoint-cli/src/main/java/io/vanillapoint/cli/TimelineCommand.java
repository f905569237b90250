package io.vanillapoint.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.vanillapoint.api.error.VanillapointException;
import io.vertx.core.http.HttpMethod;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Prints the events of all VMs as one time line; continues if a VM cannot be reached. */
final class TimelineCommand extends OperatorCommand {
    private static final Comparator<JsonNode> BY_TIME =
            Comparator.comparingLong((JsonNode event) -> event.path("wall_ms").asLong())
                    .thenComparingInt(event -> event.path("counter").asInt())
                    .thenComparing(event -> event.path("source").asText());

    @Override
    String summary() {
        return "print the merged time line of VMs";
    }

    @Override
    int run(Console console) {
        int exit = ExitCode.SUCCESS;
        List<JsonNode> events = new ArrayList<>();
        for (String address : addresses()) {
            try {
                send(HttpMethod.GET, address, "/timeline").path("events").forEach(events::add);
            } catch (VanillapointException e) {
                console.err().println(address + ": " + e.getMessage());
                exit = ExitCode.FAILURE;
            }
        }
        events.sort(BY_TIME);
        events.forEach(event -> print(console, event));
        return exit;
    }

    private void print(Console console, JsonNode event) {
        if (jsonRequested()) {
            console.out().println(event);
            return;
        }
        console.out()
                .printf(
                        "%s.%d %-14s %-5s %s%n",
                        Instant.ofEpochMilli(event.path("wall_ms").asLong()),
                        event.path("counter").asInt(),
                        event.path("source").asText(),
                        event.path("level").asText(),
                        event.path("text").asText());
    }
}
