package io.vanillapoint.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Exit codes and output of the command-line tool. */
class VanillapointCliTest {
    private static final String GOOD = "models:\n  - name: m\n    maxOutputTokens: 5\n";

    @TempDir private Path folder;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @Test
    void checkOfValidFilesSucceedsWithoutOutput() throws IOException {
        assertThat(run("check", file("good.yaml", GOOD)), is(ExitCode.SUCCESS));
        assertThat(out.toString(StandardCharsets.UTF_8), is(""));
    }

    @Test
    void checkPrintsFindingsWithTheirPlaces() throws IOException {
        String file = file("bad.yaml", "models:\n  - name: m\n");
        assertThat(run("check", file), is(ExitCode.FINDINGS));
        assertThat(out.toString(StandardCharsets.UTF_8), containsString("bad.yaml:2:5: missing:"));
    }

    @Test
    void checkPrintsFindingsAsJson() throws IOException {
        assertThat(run("check", "--json", file("bad.yaml", "x: 1\n")), is(ExitCode.FINDINGS));
        assertThat(
                out.toString(StandardCharsets.UTF_8),
                containsString("\"line\":1,\"column\":4,\"code\":\"unknown-field\""));
    }

    @Test
    void collectWritesNothingWhenThereAreFindings() throws IOException {
        Path target = folder.resolve("out");
        String bad = file("bad.yaml", "models: 1\n");
        assertThat(run("collect", bad, "--out", target.toString()), is(ExitCode.FINDINGS));
        assertThat(Files.exists(target), is(false));
    }

    @Test
    void repeatedCollectWritesIdenticalFiles() throws IOException {
        Path one = folder.resolve("one");
        Path two = folder.resolve("two");
        String good = file("good.yaml", GOOD);
        assertThat(run("collect", good, "--out", one.toString()), is(ExitCode.SUCCESS));
        assertThat(run("collect", good, "--out", two.toString()), is(ExitCode.SUCCESS));
        Path value = Path.of("declarations", "catalog.json");
        assertThat(Files.readString(one.resolve(value)), is(Files.readString(two.resolve(value))));
    }

    @Test
    void invalidArgumentsGiveAUsageError() {
        assertThat(run(), is(ExitCode.USAGE_ERROR));
        assertThat(run("nonsense"), is(ExitCode.USAGE_ERROR));
        assertThat(run("check"), is(ExitCode.USAGE_ERROR));
    }

    @Test
    void missingFileIsNamedInTheError() {
        assertThat(run("check", "nowhere.yaml"), is(ExitCode.FAILURE));
        assertThat(err.toString(StandardCharsets.UTF_8), containsString("nowhere.yaml"));
    }

    @Test
    void unreachableVmIsNamedInTheError() {
        assertThat(run("status", "127.0.0.1:1"), is(ExitCode.FAILURE));
        assertThat(err.toString(StandardCharsets.UTF_8), containsString("127.0.0.1:1"));
    }

    private int run(String... args) {
        PrintStream outStream = new PrintStream(out, true, StandardCharsets.UTF_8);
        PrintStream errStream = new PrintStream(err, true, StandardCharsets.UTF_8);
        return VanillapointCli.run(args, new Console(outStream, errStream));
    }

    private String file(String name, String text) throws IOException {
        Path file = folder.resolve(name);
        Files.writeString(file, text);
        return file.toString();
    }
}
