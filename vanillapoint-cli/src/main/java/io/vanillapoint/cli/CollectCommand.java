package io.vanillapoint.cli;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.finding.Findings;
import io.vanillapoint.config.DeclarationCollector;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.kohsuke.args4j.Option;

/** Converts declaration files to the values to publish, unless there are findings. */
final class CollectCommand extends DeclarationCommand {
    @Option(name = "--out", metaVar = "DIR", required = true, usage = "output directory")
    private String out;

    @Override
    String summary() {
        return "convert declaration files to values to publish";
    }

    @Override
    int run(Console console) {
        DeclarationCollector collector = collect();
        Findings findings = collector.findings();
        if (!findings.isEmpty()) {
            print(console, findings);
            return ExitCode.FINDINGS;
        }
        collector
                .publish()
                .values()
                .forEach((key, value) -> write(Path.of(out, key + ".json"), value));
        return ExitCode.SUCCESS;
    }

    private static void write(Path file, String value) {
        try {
            Files.createDirectories(file.getParent());
            Files.writeString(file, value);
        } catch (IOException e) {
            throw new VanillapointException(
                    ErrorCode.INVALID_CONFIGURATION, file.toString(), "can't be written: " + e);
        }
    }
}
