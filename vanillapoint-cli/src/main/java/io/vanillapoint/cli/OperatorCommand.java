package io.vanillapoint.cli;

import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Argument;

/** A command that sends requests to the operator listeners of one or more VMs. */
abstract class OperatorCommand extends RemoteCommand {
    @Argument(
            metaVar = "IP:PORT",
            required = true,
            multiValued = true,
            usage = "addresses of the VMs' listeners for operators")
    private List<String> addresses = new ArrayList<>();

    final List<String> addresses() {
        return addresses;
    }
}
