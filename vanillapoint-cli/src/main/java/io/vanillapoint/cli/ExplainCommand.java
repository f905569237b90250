package io.vanillapoint.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.cli.explain.Decision;
import io.vanillapoint.cli.explain.DecisionLogReader;
import io.vanillapoint.cli.explain.LikelyCause;
import io.vanillapoint.cli.explain.RequestTrace;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Explains one request from the decision logs of all VMs, or lists requests that failed. */
final class ExplainCommand extends Command {
    private static final Set<EventCode> FAILURES =
            Set.of(
                    EventCode.REQUEST_FAILED,
                    EventCode.REFUSED,
                    EventCode.TOKENS_REFUSED,
                    EventCode.DENIED);

    @Option(name = "--failed", usage = "list requests that failed or were refused")
    private boolean failed;

    @Option(
            name = "--reason",
            metaVar = "TEXT",
            usage = "with --failed: only requests with this reason")
    private String reason;

    @Option(
            name = "--since",
            metaVar = "MILLIS",
            usage = "with --failed: only failures at or after this Unix time in milliseconds")
    private long since;

    @Argument(
            metaVar = "REQUEST-ID FILE...",
            usage = "request id (omitted with --failed), then log files")
    private List<String> arguments = new ArrayList<>();

    @Override
    String summary() {
        return "explain from logs what happened to a request";
    }

    @Override
    int run(Console console) {
        int files = failed ? 0 : 1;
        if (arguments.size() <= files) {
            console.err().println("expected " + (failed ? "FILE..." : "REQUEST-ID FILE..."));
            return ExitCode.USAGE_ERROR;
        }
        DecisionLogReader logs = new DecisionLogReader();
        arguments.subList(files, arguments.size()).forEach(file -> logs.read(Path.of(file)));
        if (logs.unparsableLines() > 0) {
            console.err().println(logs.unparsableLines() + " lines could not be parsed");
        }
        return failed
                ? listFailures(console, logs.decisions())
                : explain(console, logs.decisions());
    }

    private int explain(Console console, List<Decision> decisions) {
        RequestTrace trace = RequestTrace.of(arguments.get(0), decisions);
        if (jsonRequested()) {
            console.out().println(json(trace));
        } else {
            trace.decisions().forEach(decision -> print(console, "", decision));
            console.out().println("known to these VMs at the time:");
            trace.context().forEach(decision -> print(console, "  ", decision));
            console.out().println("likely cause: " + LikelyCause.of(trace));
        }
        return trace.decisions().isEmpty() ? ExitCode.FINDINGS : ExitCode.SUCCESS;
    }

    private int listFailures(Console console, List<Decision> decisions) {
        Set<String> requests = new LinkedHashSet<>();
        for (Decision decision : decisions) {
            boolean wanted =
                    FAILURES.contains(decision.code())
                            && decision.atMillis() >= since
                            && (reason == null || reason.equals(reason(decision)));
            if (wanted && requests.add(decision.text("request"))) {
                print(console, decision.text("request") + " ", decision);
            }
        }
        return requests.isEmpty() ? ExitCode.FINDINGS : ExitCode.SUCCESS;
    }

    private static String reason(Decision decision) {
        boolean tokens = decision.code() == EventCode.TOKENS_REFUSED;
        return tokens ? "tokens" : decision.text("reason");
    }

    private static ObjectNode json(RequestTrace trace) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("request", trace.request());
        root.put("likely_cause", LikelyCause.of(trace));
        ArrayNode decisions = root.putArray("decisions");
        trace.decisions().forEach(decision -> decisions.add(decision.fields()));
        ArrayNode context = root.putArray("context");
        trace.context().forEach(decision -> context.add(decision.fields()));
        return root;
    }

    private static void print(Console console, String prefix, Decision decision) {
        console.out()
                .printf(
                        "%s%s %-20s %d %s %s%n",
                        prefix,
                        Instant.ofEpochMilli(decision.atMillis()),
                        decision.vm(),
                        decision.code().number(),
                        decision.code().title(),
                        decision.details());
    }
}
