package io.vanillapoint.emulator;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.emulator.report.PolicyResult;
import io.vanillapoint.emulator.scenario.Scenario;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Compares the production placement with the baseline policies in the scenarios of examples/lab.
 */
class EmulationTest {
    private static final Path LAB = Path.of("..", "examples", "lab");
    private static final int SEEDS = 5;

    /** Worth that operators require of a run without disruptions. */
    private static final double MIN_UNDISTURBED_WORTH = 0.95;

    @TempDir private Path folder;

    @Test
    void leastLossBeatsBaselinesWhenPeakMovesBetweenRegions() {
        Scenario scenario = Scenario.read(LAB.resolve("utility.yaml"));
        PolicyResult product = compare(scenario, PlacementPolicy.LEAST_LOSS);
        PolicyResult affinity = compare(scenario, PlacementPolicy.AFFINITY);
        PolicyResult outstanding = compare(scenario, PlacementPolicy.LEAST_OUTSTANDING);
        assertThat(product.worth().get(0), greaterThan(MIN_UNDISTURBED_WORTH));
        assertThat(product.meanWorth(), greaterThan(affinity.meanWorth()));
        assertThat(product.meanWorth(), greaterThan(outstanding.meanWorth()));
        assertThat(product.sharedKilotokens(), lessThan(affinity.sharedKilotokens()));
    }

    @Test
    void leastLossBeatsBaselinesDuringFaultsAndBursts() {
        Scenario scenario = Scenario.read(LAB.resolve("utility-troubled.yaml"));
        PolicyResult product = compare(scenario, PlacementPolicy.LEAST_LOSS);
        for (PlacementPolicy baseline : PlacementPolicy.values()) {
            if (baseline != PlacementPolicy.LEAST_LOSS) {
                assertThat(
                        product.worth().get(0),
                        greaterThan(compare(scenario, baseline).meanWorth()));
            }
        }
    }

    @Test
    void sameSeedGivesTheSameRun() {
        Scenario scenario = Scenario.read(LAB.resolve("utility-troubled.yaml"));
        double first = new Emulation(scenario, PlacementPolicy.LEAST_LOSS, 7).run().all().worth();
        double second = new Emulation(scenario, PlacementPolicy.LEAST_LOSS, 7).run().all().worth();
        assertThat(second, is(first));
    }

    @Test
    void overloadIsRefusedRatherThanServedLate() {
        Scenario scenario = Scenario.read(LAB.resolve("utility.yaml")).withLoad(3);
        PolicyResult product = compare(scenario, PlacementPolicy.LEAST_LOSS);
        long[] counts = product.firstRun().all().counts();
        assertThat("more requests are refused than fail", counts[3], greaterThan(counts[4]));
    }

    @Test
    void invalidScenarioIsReportedWithItsPlace() throws IOException {
        Path file = folder.resolve("bad.yaml");
        Files.writeString(file, "name: x\nseconds: soon\n");
        VanillapointException refused =
                assertThrows(VanillapointException.class, () -> Scenario.read(file));
        assertThat(refused.place(), containsString("bad.yaml:2"));
    }

    @Test
    void labPrintsPolicyComparisonAsJson() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        String file = LAB.resolve("utility.yaml").toString();
        String[] args = {"--seeds", "1", "--load", "0.3", "--json", "--policy", "AFFINITY", file};
        assertThat(Lab.run(args, new PrintStream(out), System.err), is(0));
        assertThat(out.toString(), containsString("\"policy\":\"AFFINITY\""));
    }

    private static PolicyResult compare(Scenario scenario, PlacementPolicy policy) {
        PolicyResult result = new PolicyResult(policy.name());
        for (long seed = 1; seed <= SEEDS; seed++) {
            result.add(new Emulation(scenario, policy, seed).run());
        }
        return result;
    }
}
