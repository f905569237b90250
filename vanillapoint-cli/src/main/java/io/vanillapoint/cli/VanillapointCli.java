package io.vanillapoint.cli;

import io.vanillapoint.api.error.VanillapointException;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** Entry point of the command-line tool: the first argument names the command. */
public final class VanillapointCli {
    private static final Map<String, Supplier<Command>> COMMANDS = new TreeMap<>();

    static {
        COMMANDS.put("check", CheckCommand::new);
        COMMANDS.put("collect", CollectCommand::new);
        COMMANDS.put("entries", EntriesCommand::new);
        COMMANDS.put("status", StatusCommand::new);
        COMMANDS.put("timeline", TimelineCommand::new);
        COMMANDS.put("drain", DrainCommand::new);
        COMMANDS.put("digest", DigestCommand::new);
        COMMANDS.put("explain", ExplainCommand::new);
    }

    private VanillapointCli() {}

    /**
     * Runs one command and ends the process with its exit code.
     *
     * @param args name of the command, then its flags and arguments
     */
    public static void main(String[] args) {
        System.exit(run(args, new Console(System.out, System.err)));
    }

    /**
     * Runs one command.
     *
     * @param args name of the command, then its flags and arguments
     * @param console output streams
     * @return exit code: 0 for success, 1 for findings, 2 for wrong usage, 3 for a failure
     */
    static int run(String[] args, Console console) {
        if (args.length == 0 || args[0].equals("--help") || !COMMANDS.containsKey(args[0])) {
            console.err().println("Usage: vanillapoint COMMAND [FLAG...] [ARGUMENT...]");
            COMMANDS.forEach(
                    (name, command) ->
                            console.err().printf("  %-10s %s%n", name, command.get().summary()));
            return args.length > 0 && args[0].equals("--help")
                    ? ExitCode.SUCCESS
                    : ExitCode.USAGE_ERROR;
        }
        Command command = COMMANDS.get(args[0]).get();
        CmdLineParser parser = new CmdLineParser(command);
        try {
            parser.parseArgument(Arrays.copyOfRange(args, 1, args.length));
        } catch (CmdLineException e) {
            console.err().println(e.getMessage());
            parser.printUsage(console.err());
            return ExitCode.USAGE_ERROR;
        }
        if (command.helpRequested()) {
            console.out().println("Usage: vanillapoint " + args[0] + " - " + command.summary());
            parser.printUsage(console.out());
            return ExitCode.SUCCESS;
        }
        try {
            return command.run(console);
        } catch (VanillapointException e) {
            console.err().println(e.code().code() + ": " + e.place() + ": " + e.getMessage());
            return ExitCode.FAILURE;
        }
    }
}
