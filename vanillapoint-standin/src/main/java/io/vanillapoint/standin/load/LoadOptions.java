package io.vanillapoint.standin.load;

import org.kohsuke.args4j.Option;

/** Flags of the load client. Filled by args4j. */
public final class LoadOptions {
    @Option(name = "--profile", required = true, usage = "YAML file with the traffic")
    String profile = "";

    @Option(
            name = "--entry",
            required = true,
            usage = "IP:PORT of any VM, asked for the VMs to use")
    String entry = "";

    @Option(name = "--seconds", usage = "length of the run in seconds, 1 to 3600")
    int seconds = 20;

    @Option(name = "--seed", usage = "seed of arrivals and requests")
    long seed = 1;

    @Option(name = "--scale", usage = "factor on all request rates")
    double scale = 1;

    @Option(name = "--max-open", usage = "maximum number of requests without an answer")
    int maxOpen = 2_000;

    @Option(name = "--json", usage = "write JSON for scripts")
    boolean json;

    @Option(name = "--csv", usage = "CSV file to write, one line per answered request")
    String csv = "";
}
