package io.vanillapoint.cli;

import io.vanillapoint.api.finding.Findings;

/** Checks declaration files and prints all findings. */
final class CheckCommand extends DeclarationCommand {
    @Override
    String summary() {
        return "check declaration files";
    }

    @Override
    int run(Console console) {
        Findings findings = collect().findings();
        print(console, findings);
        return findings.isEmpty() ? ExitCode.SUCCESS : ExitCode.FINDINGS;
    }
}
