package io.vanillapoint.standin;

import io.vanillapoint.standin.load.BenchClient;
import io.vanillapoint.standin.load.LoadClient;
import io.vanillapoint.standin.load.LoadOptions;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** Entry point of the stand-ins; the first argument selects the program. */
public final class Standin {
    private static final int EXIT_USAGE = 2;
    private static final Map<String, Consumer<String[]>> PROGRAMS = new TreeMap<>();

    static {
        PROGRAMS.put("platform", PlatformStandin::main);
        PROGRAMS.put("engine", EngineStandin::main);
        PROGRAMS.put("service", ServiceStandin::main);
        PROGRAMS.put("bench", args -> BenchClient.run(Flags.read(new BenchClient.Options(), args)));
        PROGRAMS.put("load", args -> LoadClient.run(Flags.read(new LoadOptions(), args)));
    }

    private Standin() {}

    /**
     * Runs one program.
     *
     * @param args name of the program, then its flags
     */
    public static void main(String[] args) {
        Consumer<String[]> program = args.length == 0 ? null : PROGRAMS.get(args[0]);
        if (program == null) {
            System.err.println("Usage: vanillapoint-standin PROGRAM FLAG...");
            System.err.println("Programs: " + String.join(", ", PROGRAMS.keySet()));
            System.exit(EXIT_USAGE);
            return;
        }
        program.accept(Arrays.copyOfRange(args, 1, args.length));
    }
}
