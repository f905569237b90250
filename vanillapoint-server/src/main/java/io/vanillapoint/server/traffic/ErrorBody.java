package io.vanillapoint.server.traffic;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.model.Vm;
import java.time.Duration;
import java.util.List;

/** Builds the JSON body of an error response. Stateless. */
final class ErrorBody {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ErrorBody() {}

    static ObjectNode of(VanillapointException error) {
        ObjectNode root = MAPPER.createObjectNode();
        ObjectNode body = root.putObject("error");
        body.put("code", error.code().code());
        body.put("message", error.getMessage());
        body.put("place", error.place());
        body.put("run", error.runState().text());
        error.retryAfter().ifPresent(wait -> body.put("retry_after_ms", wait.toMillis()));
        return root;
    }

    /** Adds the VMs that the caller may send its requests to. */
    static ObjectNode withEntries(ObjectNode body, List<Vm> vms) {
        ArrayNode entries = body.putArray("entries");
        for (Vm vm : vms) {
            entries.add(entry(vm));
        }
        return body;
    }

    static ObjectNode entry(Vm vm) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("vm", vm.id().value());
        node.put("region", vm.region().value());
        node.put("zone", vm.zone().value());
        node.put("address", vm.callers().toString());
        return node;
    }

    /** Value of the Retry-After header: seconds, rounded up, at least 1. */
    static long retryAfterSeconds(Duration wait) {
        return Math.max(1, wait.plusMillis(999).toSeconds());
    }
}
