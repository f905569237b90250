package io.vanillapoint.standin;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** Parses the flags of a stand-in. Stateless. */
final class Flags {
    private static final int EXIT_USAGE = 2;

    private Flags() {}

    /** Fills an object with args4j options; prints the usage and exits if the flags are invalid. */
    static <T> T read(T options, String[] args) {
        CmdLineParser parser = new CmdLineParser(options);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            System.exit(EXIT_USAGE);
        }
        return options;
    }
}
