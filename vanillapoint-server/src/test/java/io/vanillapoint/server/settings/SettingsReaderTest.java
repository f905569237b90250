package io.vanillapoint.server.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasItems;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.api.finding.Finding;
import io.vanillapoint.api.model.KeyDigest;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Reading and checking of settings, and agreement of the settings page with the flags. */
class SettingsReaderTest {
    private static final Path PAGE = Path.of("..", "docs", "SETTINGS.md");
    private static final String DIGEST = KeyDigest.of("operator").hex();
    private static final List<String> REQUIRED =
            List.of(
                    "--vm=a-1",
                    "--region=a",
                    "--zone=a",
                    "--callers=127.0.0.1:1",
                    "--peers=127.0.0.1:2",
                    "--operators=127.0.0.1:3",
                    "--platform=127.0.0.1:4",
                    "--operator-key-sha256=" + DIGEST);

    private final SettingsReader reader = new SettingsReader();

    @Test
    void flagsOverrideEnvironmentVariables() {
        List<String> flags = requiredFlagsAnd("--max-running=7");
        Map<String, String> variables =
                Map.of("VANILLAPOINT_MAX_RUNNING", "9", "VANILLAPOINT_MAX_QUEUE", "11");
        DaemonSettings settings = reader.read(flags, variables).orElseThrow();
        assertThat(settings.limits().maxRunning(), is(7));
        assertThat(settings.limits().maxQueue(), is(11));
    }

    @Test
    void allInvalidSettingsAreReportedWithTheirPlace() {
        Optional<DaemonSettings> settings =
                reader.read(
                        List.of("--vm=a-1", "--callers=nowhere", "--max-running=0"),
                        Map.of("VANILLAPOINT_LEASE_MS", "x"));
        assertThat(settings.isPresent(), is(false));
        List<String> places =
                reader.findings().list().stream()
                        .map(Finding::place)
                        .map(Object::toString)
                        .toList();
        assertThat(
                places,
                hasItems(
                        "--region",
                        "--callers",
                        "--max-running",
                        "VANILLAPOINT_LEASE_MS",
                        "--platform"));
    }

    @Test
    void unknownFlagIsAFinding() {
        assertThat(reader.read(requiredFlagsAnd("--no-such"), Map.of()).isPresent(), is(false));
        assertThat(reader.findings().toString(), containsString("--no-such"));
    }

    @Test
    void leaseMustOutlastHeartbeats() {
        assertThat(
                reader.read(requiredFlagsAnd("--lease-ms=500"), Map.of()).isPresent(), is(false));
        assertThat(reader.findings().toString(), containsString("--lease-ms"));
    }

    @Test
    void settingsPageListsEveryFlagAndVariable() throws IOException {
        String page = Files.readString(PAGE);
        String help = reader.help();
        for (String flag : reader.flagNames()) {
            if (!flag.contains("--help")) {
                assertThat(page, containsString("| `" + flag + "` | `"));
                assertThat(page, containsString("`" + SettingsReader.variable(flag) + "`"));
            }
            assertThat(help, containsString(flag));
        }
        long rows = page.lines().filter(line -> line.startsWith("| `--")).count();
        assertThat(rows, is(reader.flagNames().size() - 1L));
    }

    private static List<String> requiredFlagsAnd(String flag) {
        List<String> flags = new ArrayList<>(REQUIRED);
        flags.add(flag);
        return flags;
    }
}
