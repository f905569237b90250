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
    private final Set<String> flagsFromEnvironment = new HashSet<>();

    /**
     * Reads the settings.
     *
     * @param flags command line arguments
     * @param environment environment variables
     * @return the settings, or empty if there are findings or help was requested
     */
    public Optional<DaemonSettings> read(List<String> flags, Map<String, String> environment) {
        List<String> arguments = new ArrayList<>(environmentFlags(flags, environment));
        arguments.addAll(flags);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException e) {
            findings.add(Place.of("command line"), FindingCode.SYNTAX, e.getMessage());
            return Optional.empty();
        }
        if (options.help) {
            return Optional.empty();
        }
        DaemonSettings settings = readSettings();
        return findings.isEmpty() ? Optional.of(settings) : Optional.empty();
    }

    /**
     * Tells whether help was requested.
     *
     * @return true after {@code --help}
     */
    public boolean helpRequested() {
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
                flagsFromEnvironment.add(flag);
                found.addAll(Arrays.asList(flag, value));
            }
        }
        return found;
    }

    private DaemonSettings readSettings() {
        return new DaemonSettings(
                parseValue("--vm", options.vm, VmId::new),
                parseValue("--region", options.region, RegionId::new),
                parseValue("--zone", options.zone, ZoneId::new),
                parseValue("--callers", options.callers, Endpoint::parse),
                parseValue("--peers", options.peers, Endpoint::parse),
                parseValue("--operators", options.operators, Endpoint::parse),
                parseValue("--platform", options.platform, Endpoint::parse),
                seedPeers(),
                parseValue("--operator-key-sha256", options.operatorKeySha256, KeyDigest::new),
                parseValue("--share-policy", options.sharePolicy, SettingsReader::sharePolicy),
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
                Endpoint peer = parseValue("--seed-peers", part.trim(), Endpoint::parse);
                if (peer != null) {
                    peers.add(peer);
                }
            }
        }
        return peers;
    }

    private DaemonSettings.Limits limits() {
        return new DaemonSettings.Limits(
                parseWholeNumber("--traffic-threads", options.trafficThreads, 1, MAX_THREADS),
                parseWholeNumber("--max-header-bytes", options.maxHeaderBytes, 1, MAX_BYTES),
                parseWholeNumber("--max-connections", options.maxConnections, 8, MAX_COUNT),
                parseWholeNumber("--max-body-bytes", options.maxBodyBytes, 1, MAX_BYTES),
                parseWholeNumber("--max-frame-bytes", options.maxFrameBytes, 1, MAX_BYTES),
                parseWholeNumber("--max-running", options.maxRunning, 1, MAX_COUNT),
                parseWholeNumber("--max-queue", options.maxQueue, 0, MAX_COUNT),
                parseWholeNumber("--max-attempts", options.maxAttempts, 1, MAX_COUNT),
                parseWholeNumber("--timeline-events", options.timelineEvents, 1, MAX_COUNT));
    }

    private SpillRule spill() {
        return new SpillRule(
                parseNumber("--spill-load", options.spillLoad),
                parseNumber("--away-penalty", options.awayPenalty));
    }

    private double parseNumber(String flag, String value) {
        try {
            double number = Double.parseDouble(value);
            if (number >= 0) {
                return number;
            }
        } catch (NumberFormatException e) {
            addBadValue(flag, "expected a number from 0, got '" + value + "'");
            return 0;
        }
        addBadValue(flag, "expected a number from 0, got " + value);
        return 0;
    }

    private DaemonSettings.Timeouts timeouts() {
        return new DaemonSettings.Timeouts(
                parseWholeNumber("--queue-timeout-ms", options.queueTimeoutMs, 1, MAX_MILLIS),
                parseWholeNumber("--connect-timeout-ms", options.connectTimeoutMs, 1, MAX_MILLIS),
                parseWholeNumber(
                        "--first-byte-timeout-ms", options.firstByteTimeoutMs, 1, MAX_MILLIS),
                parseWholeNumber("--head-timeout-ms", options.headTimeoutMs, 1, MAX_MILLIS),
                parseWholeNumber("--caller-idle-ms", options.callerIdleMs, 1, MAX_MILLIS),
                parseWholeNumber("--idle-timeout-ms", options.idleTimeoutMs, 1, MAX_MILLIS),
                parseWholeNumber("--peer-timeout-ms", options.peerTimeoutMs, 1, MAX_MILLIS),
                parseWholeNumber("--rate-wait-ms", options.rateWaitMs, 0, MAX_MILLIS),
                parseWholeNumber("--load-poll-ms", options.loadPollMs, 0, MAX_MILLIS),
                (long) MILLIS_PER_SECOND
                        * parseWholeNumber(
                                "--drain-timeout-s", options.drainTimeoutS, 1, MAX_MILLIS));
    }

    private LimitTiming timing() {
        int heartbeat = parseWholeNumber("--heartbeat-ms", options.heartbeatMs, 1, MAX_MILLIS);
        int lease = parseWholeNumber("--lease-ms", options.leaseMs, 1, MAX_MILLIS);
        int lag = parseWholeNumber("--list-lag-ms", options.listLagMs, 0, MAX_MILLIS);
        if (lease < 2 * heartbeat) {
            addBadValue("--lease-ms", "expected at least twice --heartbeat-ms");
        }
        return LimitTiming.defaults()
                .withHeartbeatMillis(heartbeat)
                .withLeaseMillis(lease)
                .withListLagMillis(lag);
    }

    private static SharePolicy sharePolicy(String text) {
        return SharePolicy.valueOf(text.toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    private <T> T parseValue(String flag, String value, Function<String, T> parse) {
        if (value.isEmpty()) {
            findings.add(placeOf(flag), FindingCode.MISSING, "expected a value");
            return null;
        }
        try {
            return parse.apply(value);
        } catch (IllegalArgumentException e) {
            addBadValue(flag, e.getMessage());
            return null;
        }
    }

    private int parseWholeNumber(String flag, String value, int min, int max) {
        String expected = "expected a whole number from " + min + " to " + max;
        try {
            int number = Integer.parseInt(value);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            addBadValue(flag, expected + ", got '" + value + "'");
            return min;
        }
        addBadValue(flag, expected + ", got " + value);
        return min;
    }

    private void addBadValue(String flag, String message) {
        findings.add(placeOf(flag), FindingCode.BAD_VALUE, message);
    }

    private Place placeOf(String flag) {
        return Place.of(flagsFromEnvironment.contains(flag) ? variable(flag) : flag);
    }
}
