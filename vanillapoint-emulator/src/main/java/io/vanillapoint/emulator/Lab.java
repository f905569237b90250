package io.vanillapoint.emulator;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.emulator.report.OutcomeTotals;
import io.vanillapoint.emulator.report.PolicyResult;
import io.vanillapoint.emulator.scenario.Scenario;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Command line tool that simulates a scenario under several policies and compares the results. */
public final class Lab {
    private static final int EXIT_USAGE = 2;

    @Option(
            name = "--seeds",
            metaVar = "N",
            usage = "runs of each policy, one per seed (default 5)")
    private int seeds = 5;

    @Option(name = "--load", metaVar = "X", usage = "factor on the scenario's traffic (default 1)")
    private double load = 1;

    @Option(
            name = "--policy",
            metaVar = "NAME",
            usage = "placement policy; repeatable (default all)")
    private List<PlacementPolicy> policies = new ArrayList<>();

    @Option(name = "--json", usage = "write JSON for scripts")
    private boolean json;

    @Argument(metaVar = "SCENARIO", required = true, usage = "YAML file, see examples/lab")
    private String file;

    @Option(name = "--help", help = true, usage = "show this help")
    private boolean help;

    private Lab() {}

    /**
     * Runs the tool.
     *
     * @param args flags and the path of the scenario
     */
    public static void main(String[] args) {
        System.exit(run(args, System.out, System.err));
    }

    static int run(String[] args, PrintStream out, PrintStream err) {
        Lab lab = new Lab();
        CmdLineParser parser = new CmdLineParser(lab);
        try {
            parser.parseArgument(args);
            if (lab.help) {
                parser.printUsage(out);
                return 0;
            }
            lab.runScenario(out);
            return 0;
        } catch (CmdLineException e) {
            err.println(e.getMessage());
            parser.printUsage(err);
        } catch (VanillapointException e) {
            err.println(e.place() + ": " + e.getMessage());
        }
        return EXIT_USAGE;
    }

    private void runScenario(PrintStream out) {
        Scenario scenario = Scenario.read(Path.of(file)).withLoad(load);
        List<PlacementPolicy> selected =
                policies.isEmpty() ? List.of(PlacementPolicy.values()) : policies;
        List<PolicyResult> results = new ArrayList<>();
        for (PlacementPolicy policy : selected) {
            PolicyResult result = new PolicyResult(policy.name());
            for (long seed = 1; seed <= seeds; seed++) {
                result.add(new Emulation(scenario, policy, seed).run());
            }
            results.add(result);
        }
        if (json) {
            out.println(json(results));
        } else {
            results.forEach(result -> print(out, result));
        }
    }

    private static ArrayNode json(List<PolicyResult> results) {
        ArrayNode root = new ObjectMapper().createArrayNode();
        for (PolicyResult result : results) {
            ObjectNode node = root.addObject();
            node.put("policy", result.policy());
            node.put("worth_mean", result.meanWorth());
            result.worth().forEach(node.putArray("worth")::add);
            node.put("shared_kilotokens_read", result.sharedKilotokens());
            node.put("crossed_megabytes", result.crossRegionMegabytes());
        }
        return root;
    }

    private static void print(PrintStream out, PolicyResult result) {
        List<Double> worth = result.worth();
        out.printf(
                Locale.ROOT,
                "%-18s worth %.3f (%.3f to %.3f)  shared prefill %.0f k  cross-region %.1f MB%n",
                result.policy(),
                result.meanWorth(),
                worth.get(0),
                worth.get(worth.size() - 1),
                result.sharedKilotokens(),
                result.crossRegionMegabytes());
        result.firstRun().kinds().forEach((name, totals) -> printRow(out, name, totals));
        for (Map.Entry<String, OutcomeTotals> region : result.firstRun().regions().entrySet()) {
            printRow(out, region.getKey(), region.getValue());
        }
    }

    private static void printRow(PrintStream out, String name, OutcomeTotals totals) {
        long[] counts = totals.counts();
        out.printf(
                Locale.ROOT,
                "  %-16s asked %6d  in time %6d  late %5d  refused %5d  failed %5d  worth %.3f%n",
                name,
                counts[0],
                counts[1],
                counts[2],
                counts[3],
                counts[4],
                totals.worth());
    }
}
