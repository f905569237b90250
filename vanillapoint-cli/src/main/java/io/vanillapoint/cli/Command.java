package io.vanillapoint.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.kohsuke.args4j.Option;

/** A command of the tool. Filled by args4j, used once, by one thread. */
abstract class Command {
    /** Writes JSON for all commands. */
    static final ObjectMapper MAPPER = new ObjectMapper();

    @Option(name = "--json", usage = "write JSON for scripts")
    private boolean json;

    @Option(name = "--help", help = true, usage = "print this text and exit")
    private boolean help;

    /** One line for the list of commands. */
    abstract String summary();

    /** Runs the command and returns its exit code. */
    abstract int run(Console console);

    final boolean jsonWanted() {
        return json;
    }

    final boolean helpWanted() {
        return help;
    }
}
