package io.vanillapoint.server.settings;

import io.vanillapoint.api.finding.FindingCode;
import io.vanillapoint.api.finding.Findings;
import io.vanillapoint.api.finding.Place;
import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.api.model.KeyDigest;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.VmId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.limit.LimitTiming;
import io.vanillapoint.core.limit.SharePolicy;
import io.vanillapoint.core.routing.SpillRule;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;
import org.kohsuke.args4j.spi.OptionHandler;

/**
 * Reads the daemon's settings from flags and environment variables and reports all errors together.
 * Not safe for use by several threads.
 */
public final class SettingsReader {
    private static final String VARIABLE_PREFIX = "VANILLAPOINT_";
    private static final int MILLIS_PER_SECOND = 1_000;
    private static final int MAX_THREADS = 64;
    private static final int MAX_COUNT = 1_000_000;
    private static final int MAX_BYTES = 1 << 30;
    private static final int MAX_MILLIS = 3_600_000;
    private static final int HELP_WIDTH = 100;

    private final DaemonOptions options = new DaemonOptions();
    private final CmdLineParser parser =
            new CmdLineParser(options, ParserProperties.defaults().withUsageWidth(HELP_WIDTH));
    private final Findings findings = new Findings();
    private final Set<String> fromEnvironment = new HashSet<>();

    /**
     * Reads the settings.
     *
     * @param flags command line arguments
     * @param environment environment variables
     * @return the settings, or empty if there are findings or help was requested
     */
    public Optional<DaemonSettings> read(List<String> flags, Map<String, String> environment) {
        List<String> all = new ArrayList<>(environmentFlags(flags, environment));
        all.addAll(flags);
        try {
            parser.parseArgument(all);
        } catch (CmdLineException e) {
            findings.add(Place.of("command line"), FindingCode.SYNTAX, e.getMessage());
            return Optional.empty();
        }
        if (options.help) {
            return Optional.empty();
        }
        DaemonSettings settings = check();
        return findings.isEmpty() ? Optional.of(settings) : Optional.empty();
    }

    /**
     * Tells whether help was requested.
     *
     * @return true after {@code --help}
     */
    public boolean helpWanted() {
        return options.help;
    }

    /**
     * Errors found so far.
     *
     * @return the findings
     */
    public Findings findings() {
        return findings;
    }

    /**
     * Text for {@code --help}.
     *
     * @return usage text with all flags and their defaults
     */
    public String help() {
        StringWriter text = new StringWriter();
        text.write("Usage: vanillapointd FLAG...\n\n");
        text.write("Each flag is also a variable: --max-running is VANILLAPOINT_MAX_RUNNING.\n\n");
        parser.printUsage(text, null);
        return text.toString();
    }

    /**
     * Names of all flags.
     *
     * @return names with leading dashes
     */
    public List<String> flagNames() {
        return parser.getOptions().stream().map(option -> option.option.toString()).toList();
    }

    /**
     * Environment variable of a flag.
     *
     * @param flag name with leading dashes
     * @return name of the variable
     */
    public static String variable(String flag) {
        String name = flag.substring("--".length()).toUpperCase(Locale.ROOT);
        return VARIABLE_PREFIX + name.replace('-', '_');
    }

    private List<String> environmentFlags(List<String> flags, Map<String, String> environment) {
        List<String> found = new ArrayList<>();
        for (OptionHandler<?> handler : parser.getOptions()) {
            String flag = handler.option.toString();
            String value = environment.get(variable(flag));
            if (value != null && !handler.option.help() && !flags.contains(flag)) {
                fromEnvironment.add(flag);
                found.addAll(Arrays.asList(flag, value));
            }
        }
        return found;
    }

    private DaemonSettings check() {
        return new DaemonSettings(
                text("--vm", options.vm, VmId::new),
                text("--region", options.region, RegionId::new),
                text("--zone", options.zone, ZoneId::new),
                text("--callers", options.callers, Endpoint::parse),
                text("--peers", options.peers, Endpoint::parse),
                text("--operators", options.operators, Endpoint::parse),
                text("--platform", options.platform, Endpoint::parse),
                seedPeers(),
                text("--operator-key-sha256", options.operatorKeySha256, KeyDigest::new),
                text("--share-policy", options.sharePolicy, SettingsReader::sharePolicy),
                options.upstreamPolicy,
                spill(),
                limits(),
                timeouts(),
                timing());
    }

    private List<Endpoint> seedPeers() {
        List<Endpoint> peers = new ArrayList<>();
        for (String part : options.seedPeers.split(",")) {
            if (!part.isBlank()) {
                Endpoint peer = text("--seed-peers", part.trim(), Endpoint::parse);
                if (peer != null) {
                    peers.add(peer);
                }
            }
        }
        return peers;
    }

    private DaemonSettings.Limits limits() {
        return new DaemonSettings.Limits(
                number("--traffic-threads", options.trafficThreads, 1, MAX_THREADS),
                number("--max-header-bytes", options.maxHeaderBytes, 1, MAX_BYTES),
                number("--max-body-bytes", options.maxBodyBytes, 1, MAX_BYTES),
                number("--max-frame-bytes", options.maxFrameBytes, 1, MAX_BYTES),
                number("--max-running", options.maxRunning, 1, MAX_COUNT),
                number("--max-queue", options.maxQueue, 0, MAX_COUNT),
                number("--max-attempts", options.maxAttempts, 1, MAX_COUNT),
                number("--timeline-events", options.timelineEvents, 1, MAX_COUNT));
    }

    private SpillRule spill() {
        return new SpillRule(
                decimal("--spill-load", options.spillLoad),
                decimal("--away-penalty", options.awayPenalty));
    }

    private double decimal(String flag, String value) {
        try {
            double number = Double.parseDouble(value);
            if (number >= 0) {
                return number;
            }
        } catch (NumberFormatException e) {
            fault(flag, "expected a number from 0, got '" + value + "'");
            return 0;
        }
        fault(flag, "expected a number from 0, got " + value);
        return 0;
    }

    private DaemonSettings.Timeouts timeouts() {
        return new DaemonSettings.Timeouts(
                number("--queue-timeout-ms", options.queueTimeoutMs, 1, MAX_MILLIS),
                number("--connect-timeout-ms", options.connectTimeoutMs, 1, MAX_MILLIS),
                number("--first-byte-timeout-ms", options.firstByteTimeoutMs, 1, MAX_MILLIS),
                number("--idle-timeout-ms", options.idleTimeoutMs, 1, MAX_MILLIS),
                number("--peer-timeout-ms", options.peerTimeoutMs, 1, MAX_MILLIS),
                number("--rate-wait-ms", options.rateWaitMs, 0, MAX_MILLIS),
                number("--load-poll-ms", options.loadPollMs, 0, MAX_MILLIS),
                (long) MILLIS_PER_SECOND
                        * number("--drain-timeout-s", options.drainTimeoutS, 1, MAX_MILLIS));
    }

    private LimitTiming timing() {
        int heartbeat = number("--heartbeat-ms", options.heartbeatMs, 1, MAX_MILLIS);
        int lease = number("--lease-ms", options.leaseMs, 1, MAX_MILLIS);
        int lag = number("--list-lag-ms", options.listLagMs, 0, MAX_MILLIS);
        if (lease < 2 * heartbeat) {
            fault("--lease-ms", "expected at least twice --heartbeat-ms");
        }
        return LimitTiming.defaults()
                .withHeartbeatMillis(heartbeat)
                .withLeaseMillis(lease)
                .withListLagMillis(lag);
    }

    private static SharePolicy sharePolicy(String text) {
        return SharePolicy.valueOf(text.toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    private <T> T text(String flag, String value, Function<String, T> read) {
        if (value.isEmpty()) {
            findings.add(place(flag), FindingCode.MISSING, "expected a value");
            return null;
        }
        try {
            return read.apply(value);
        } catch (IllegalArgumentException e) {
            fault(flag, e.getMessage());
            return null;
        }
    }

    private int number(String flag, String value, int least, int most) {
        String expected = "expected a whole number from " + least + " to " + most;
        try {
            int number = Integer.parseInt(value);
            if (number >= least && number <= most) {
                return number;
            }
        } catch (NumberFormatException e) {
            fault(flag, expected + ", got '" + value + "'");
            return least;
        }
        fault(flag, expected + ", got " + value);
        return least;
    }

    private void fault(String flag, String message) {
        findings.add(place(flag), FindingCode.BAD_VALUE, message);
    }

    private Place place(String flag) {
        return Place.of(fromEnvironment.contains(flag) ? variable(flag) : flag);
    }
}
