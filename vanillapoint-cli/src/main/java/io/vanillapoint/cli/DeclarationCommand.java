package io.vanillapoint.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.finding.Finding;
import io.vanillapoint.api.finding.Findings;
import io.vanillapoint.config.DeclarationCollector;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Argument;

/** A command that reads declaration files. */
abstract class DeclarationCommand extends Command {
    @Argument(metaVar = "FILE", required = true, multiValued = true, usage = "declaration files")
    private List<String> files = new ArrayList<>();

    /** Reads all files given as arguments. */
    final DeclarationCollector collect() {
        DeclarationCollector collector = new DeclarationCollector();
        for (String file : files) {
            try {
                collector.add(file, Files.readString(Path.of(file)));
            } catch (IOException e) {
                throw new VanillapointException(
                        ErrorCode.INVALID_CONFIGURATION, file, "can't be read: " + e);
            }
        }
        return collector;
    }

    /** Prints findings, one per line or as a JSON array. */
    final void print(Console console, Findings findings) {
        if (!jsonRequested()) {
            findings.list().forEach(console.out()::println);
            return;
        }
        ArrayNode list = MAPPER.createArrayNode();
        for (Finding finding : findings.list()) {
            ObjectNode node = list.addObject();
            node.put("source", finding.place().source());
            node.put("line", finding.place().line());
            node.put("column", finding.place().column());
            node.put("code", finding.code().text());
            node.put("message", finding.message());
        }
        console.out().println(list);
    }
}
