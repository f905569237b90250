package io.vanillapoint.cli;

import io.vanillapoint.api.model.KeyDigest;
import java.nio.charset.StandardCharsets;
import java.util.Scanner;

/** Prints the digest of a key from standard input, for use in a declaration. */
final class DigestCommand extends Command {
    @Override
    String summary() {
        return "print the digest of a key given on standard input";
    }

    @Override
    int run(Console console) {
        Scanner input = new Scanner(System.in, StandardCharsets.UTF_8);
        if (!input.hasNextLine()) {
            console.err().println("expected a key on standard input");
            return ExitCode.USAGE_ERROR;
        }
        console.out().println(KeyDigest.of(input.nextLine().trim()).hex());
        return ExitCode.SUCCESS;
    }
}
