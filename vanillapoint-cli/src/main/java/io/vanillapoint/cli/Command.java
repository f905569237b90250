package io.vanillapoint.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.kohsuke.args4j.Option;

/** A command of the tool. Fields are set by args4j. Used once, by one thread. */
abstract class Command {
    /** JSON mapper shared by all commands. */
    static final ObjectMapper MAPPER = new ObjectMapper();

    @Option(name = "--json", usage = "write JSON output")
    private boolean json;

    @Option(name = "--help", help = true, usage = "print this text and exit")
    private boolean help;

    /** One-line description for the list of commands. */
    abstract String summary();

    /** Runs the command and returns its exit code. */
    abstract int run(Console console);

    final boolean jsonRequested() {
        return json;
    }

    final boolean helpRequested() {
        return help;
    }
}
