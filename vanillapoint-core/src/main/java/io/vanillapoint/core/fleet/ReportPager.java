package io.vanillapoint.core.fleet;

import io.vanillapoint.core.quarantine.QuarantineReport;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Chooses the content of a heartbeat so that it fits one packet, whatever the size of the fleet.
 *
 * <p>Handles fleets whose dozens of VMs, upstreams and customers no longer fit one datagram: a
 * datagram that is longer than a packet is lost if any of its fragments is lost, and one that is
 * longer than the receiver's buffer is truncated. Content is added by priority: the sender itself,
 * then customers by the size of their unreported change, rejection limits, one page of unreachable
 * and silent replicas and of upstreams, prompt parts that crash engines, other VMs, and sessions
 * last. Invariant: the estimate of a report's encoded size is an upper bound and never exceeds
 * {@link #PACKET_BYTES}. Confined to one thread.
 */
public final class ReportPager {
    /** Size of a datagram that every link carries in one packet, with room for tunnel headers. */
    public static final int PACKET_BYTES = 1_200;

    /** Bytes of a packet for customers; about sixteen of them fit. */
    private static final int CUSTOMER_BYTES = 400;

    /** Bytes of a packet for upstreams and unreachable replicas; about twenty of them fit. */
    private static final int UPSTREAM_BYTES = 450;

    /** Bytes of a report's fields other than its lists and its sender. */
    private static final int HEADER_BYTES = 86;

    /** Field header and length prefix of a text. */
    private static final int TEXT_OVERHEAD_BYTES = 3;

    /** Field header and maximum size of a 64-bit number. */
    private static final int NUMBER_BYTES = 11;

    /** Field header and maximum size of a 32-bit number. */
    private static final int SHORT_NUMBER_BYTES = 6;

    private static final int STRUCT_END_BYTES = 1;

    /** Bytes taken from upstreams while prompt parts are withheld or suspected. */
    private static final int QUARANTINE_BYTES = 120;

    /** Bytes taken from upstreams while replicas announce rejection limits; one or two fit. */
    private static final int REJECTION_LIMIT_BYTES = 60;

    /** Field header, size and types of a map. */
    private static final int MAP_OVERHEAD_BYTES = 8;

    /**
     * Picks pages and VMs at random: in a fixed rotation, a receiver that gets every eighth
     * heartbeat would see the same half of them over and over.
     */
    private final SplittableRandom random;

    private final Map<String, LastReported> lastReported = new HashMap<>();
    private int reportCount;

    /**
     * Creates a pager that has reported nothing yet.
     *
     * @param seed random seed; differs between VMs, so that they do not all name the same VMs at
     *     once
     */
    public ReportPager(long seed) {
        random = new SplittableRandom(seed);
    }

    /**
     * Fills a report.
     *
     * @param report report with its sender's own fields; the lists and the page are set here
     * @param self the sender
     * @param content state to choose from
     * @param maxMembers maximum number of other VMs to name
     */
    public void fill(FleetReport.Builder report, MemberInfo self, Content content, int maxMembers) {
        reportCount++;
        int remaining = PACKET_BYTES - HEADER_BYTES - size(self);
        Map<String, CustomerUse> customers = chooseCustomers(content.customers());
        remaining -= customers.entrySet().stream().mapToInt(ReportPager::customerSize).sum();
        Map<String, Integer> rejectionLimits = chooseRejectionLimits(content.rejectionLimits());
        remaining -= size(rejectionLimits);
        int pageCount = pageCount(content, remaining);
        boolean customersLeftOut = customers.size() < content.customers().size();
        ReportPage page = new ReportPage(random.nextInt(pageCount), pageCount, customersLeftOut);
        UpstreamEntries entries = UpstreamEntries.choose(content, page, remaining);
        remaining -= entries.usedBytes();
        List<MemberObservation> others = new ArrayList<>();
        List<MemberObservation> observations = content.members();
        int first = observations.isEmpty() ? 0 : random.nextInt(observations.size());
        boolean namesOthers = maxMembers > 0 && !observations.isEmpty();
        int reserved = namesOthers ? size(observations.get(first).info()) : 0;
        QuarantinePager quarantine =
                new QuarantinePager(remaining - reserved, random).add(content.quarantine());
        remaining -= quarantine.usedBytes();
        for (int i = 0; i < Math.min(maxMembers, observations.size()); i++) {
            MemberObservation observation = observations.get((first + i) % observations.size());
            remaining -= size(observation.info());
            if (remaining < 0) {
                break;
            }
            others.add(observation);
        }
        report.page(page)
                .customers(customers)
                .rejectionLimits(rejectionLimits)
                .unreachable(entries.unreachable())
                .silences(entries.silences())
                .signals(entries.signals())
                .upstreams(entries.upstreams())
                .quarantine(quarantine.chosen())
                .others(others)
                .reads(chooseReads(content.reads(), remaining));
    }

    /**
     * Chooses the customers with the largest unreported change first, then the least recently
     * reported ones.
     */
    private Map<String, CustomerUse> chooseCustomers(Map<String, CustomerUse> uses) {
        List<Map.Entry<String, CustomerUse>> order = new ArrayList<>(uses.entrySet());
        order.sort(
                Comparator.comparingLong(
                                (Map.Entry<String, CustomerUse> use) ->
                                        -Math.abs(lastReported(use).unreported(use.getValue())))
                        .thenComparingInt(use -> lastReported(use).reportNumber));
        Map<String, CustomerUse> chosen = new HashMap<>();
        int remaining = CUSTOMER_BYTES;
        for (Map.Entry<String, CustomerUse> use : order) {
            remaining -= customerSize(use);
            if (remaining < 0) {
                break;
            }
            chosen.put(use.getKey(), use.getValue());
            lastReported.put(use.getKey(), new LastReported(use.getValue().tokens(), reportCount));
        }
        return chosen;
    }

    /** Chooses the first sessions that fit. */
    private static List<SessionCacheEntry> chooseReads(
            List<SessionCacheEntry> reads, int maxBytes) {
        List<SessionCacheEntry> chosen = new ArrayList<>();
        int remaining = maxBytes;
        for (SessionCacheEntry read : reads) {
            remaining -=
                    NUMBER_BYTES
                            + textSize(read.upstream())
                            + SHORT_NUMBER_BYTES
                            + STRUCT_END_BYTES;
            if (remaining < 0) {
                break;
            }
            chosen.add(read);
        }
        return chosen;
    }

    /** Chooses limits at random as far as they fit. */
    private Map<String, Integer> chooseRejectionLimits(Map<String, Integer> limits) {
        List<String> services = new ArrayList<>(limits.keySet());
        Map<String, Integer> chosen = new HashMap<>();
        int remaining = REJECTION_LIMIT_BYTES - MAP_OVERHEAD_BYTES;
        int first = services.isEmpty() ? 0 : random.nextInt(services.size());
        for (int i = 0; i < services.size(); i++) {
            String service = services.get((first + i) % services.size());
            int size = textSize(service) + SHORT_NUMBER_BYTES;
            if (size <= remaining) {
                chosen.put(service, limits.get(service));
                remaining -= size;
            }
        }
        return chosen;
    }

    private LastReported lastReported(Map.Entry<String, CustomerUse> use) {
        return lastReported.getOrDefault(use.getKey(), LastReported.NEVER);
    }

    /**
     * Returns the number of pages of which each fits. An entry that does not fit into its page
     * would be left out of every report, and receivers would take its upstream for idle.
     */
    private static int pageCount(Content content, int maxBytes) {
        Map<String, Integer> sizes = upstreamSizes(content);
        int bytes = sizes.values().stream().mapToInt(Integer::intValue).sum();
        int pageBytes = UPSTREAM_BYTES;
        pageBytes -= content.quarantine().isEmpty() ? 0 : QUARANTINE_BYTES;
        pageBytes -= content.rejectionLimits().isEmpty() ? 0 : REJECTION_LIMIT_BYTES;
        int count = Math.max(1, (bytes + pageBytes - 1) / pageBytes);
        while (count < sizes.size() && largestPage(sizes, count) > maxBytes) {
            count++;
        }
        return count;
    }

    /** Bytes that a report needs for all it tells of each upstream. */
    private static Map<String, Integer> upstreamSizes(Content content) {
        Map<String, Integer> sizes = new HashMap<>();
        Set<String> upstreams = content.upstreams().keySet();
        content.upstreams().entrySet().forEach(use -> sizes.put(use.getKey(), size(use)));
        content.unreachable().forEach(id -> sizes.merge(id, textSize(id), Integer::sum));
        content.silences()
                .keySet()
                .forEach(id -> sizes.merge(id, silenceSize(id, upstreams), Integer::sum));
        content.signals()
                .entrySet()
                .forEach(
                        signals ->
                                sizes.merge(
                                        signals.getKey(),
                                        signalsSize(signals, upstreams),
                                        Integer::sum));
        return sizes;
    }

    private static int largestPage(Map<String, Integer> sizes, int count) {
        int[] pages = new int[count];
        sizes.forEach((id, size) -> pages[ReportPage.pageOf(id, count)] += size);
        return Arrays.stream(pages).max().orElse(0);
    }

    private static int size(Map<String, Integer> limits) {
        int bytes = limits.isEmpty() ? 0 : MAP_OVERHEAD_BYTES;
        for (String service : limits.keySet()) {
            bytes += textSize(service) + SHORT_NUMBER_BYTES;
        }
        return bytes;
    }

    private static int customerSize(Map.Entry<String, CustomerUse> use) {
        return textSize(use.getKey()) + 2 * NUMBER_BYTES + STRUCT_END_BYTES;
    }

    private static int size(Map.Entry<String, UpstreamUse> use) {
        boolean deferrable = use.getValue().deferrableRequests() != 0;
        return entrySize(use.getKey()) + (deferrable ? SHORT_NUMBER_BYTES + NUMBER_BYTES : 0);
    }

    /** Size of an upstream's entry without its optional fields. */
    private static int entrySize(String upstream) {
        return textSize(upstream) + SHORT_NUMBER_BYTES + NUMBER_BYTES + STRUCT_END_BYTES;
    }

    /** Counts are added to the replica's entry if the report has one. */
    private static int silenceSize(String replica, Set<String> upstreams) {
        return (upstreams.contains(replica) ? 0 : entrySize(replica)) + 2 * SHORT_NUMBER_BYTES;
    }

    /** Signals are added to the replica's entry if the report has one. */
    private static int signalsSize(
            Map.Entry<String, UpstreamSignals> signals, Set<String> upstreams) {
        int numbers = signals.getValue().outcomes().isPresent() ? 2 : 0;
        numbers += signals.getValue().slowdown().isPresent() ? 2 : 0;
        String replica = signals.getKey();
        return (upstreams.contains(replica) ? 0 : entrySize(replica))
                + numbers * SHORT_NUMBER_BYTES;
    }

    private static int size(MemberInfo info) {
        return textSize(info.vm())
                + textSize(info.host())
                + textSize(info.region().value())
                + textSize(info.zone().value())
                + 2 * NUMBER_BYTES
                + 2 * SHORT_NUMBER_BYTES
                + STRUCT_END_BYTES;
    }

    private static int textSize(String text) {
        return TEXT_OVERHEAD_BYTES + text.getBytes(StandardCharsets.UTF_8).length;
    }

    /**
     * State of a VM from which a report is chosen. The collections are not copied.
     *
     * @param customers token bucket states by customer name
     * @param upstreams outstanding requests by upstream id
     * @param reads sessions that engines have processed, in order of priority
     * @param members other VMs
     * @param quarantine prompt parts that crash engines
     * @param unreachable ids of the replicas of the sender's region that it can't reach
     * @param rejectionLimits rejections in a second that replicas survive, by service
     * @param silences replicas that leave requests of the sender unanswered, by id
     * @param signals what the sender has observed of replicas, by id
     */
    public record Content(
            Map<String, CustomerUse> customers,
            Map<String, UpstreamUse> upstreams,
            List<SessionCacheEntry> reads,
            List<MemberObservation> members,
            QuarantineReport quarantine,
            Set<String> unreachable,
            Map<String, Integer> rejectionLimits,
            Map<String, SilenceCounts> silences,
            Map<String, UpstreamSignals> signals) {}

    /** What one page tells of upstreams, and the bytes that it takes. */
    private record UpstreamEntries(
            Set<String> unreachable,
            Map<String, UpstreamUse> upstreams,
            Map<String, SilenceCounts> silences,
            Map<String, UpstreamSignals> signals,
            int usedBytes) {
        static UpstreamEntries choose(Content content, ReportPage page, int maxBytes) {
            int freeBytes = maxBytes;
            Set<String> unreachable = new HashSet<>();
            for (String replica : content.unreachable()) {
                int size = textSize(replica);
                if (page.covers(replica) && size <= freeBytes) {
                    unreachable.add(replica);
                    freeBytes -= size;
                }
            }
            Map<String, UpstreamUse> upstreams = new HashMap<>();
            for (Map.Entry<String, UpstreamUse> use : content.upstreams().entrySet()) {
                int size = size(use);
                if (page.covers(use.getKey()) && size <= freeBytes) {
                    upstreams.put(use.getKey(), use.getValue());
                    freeBytes -= size;
                }
            }
            Map<String, SilenceCounts> silences = new HashMap<>();
            for (Map.Entry<String, SilenceCounts> silence : content.silences().entrySet()) {
                int size = silenceSize(silence.getKey(), upstreams.keySet());
                if (page.covers(silence.getKey()) && size <= freeBytes) {
                    silences.put(silence.getKey(), silence.getValue());
                    freeBytes -= size;
                }
            }
            Map<String, UpstreamSignals> signals = new HashMap<>();
            for (Map.Entry<String, UpstreamSignals> observed : content.signals().entrySet()) {
                int size = signalsSize(observed, upstreams.keySet());
                if (page.covers(observed.getKey()) && size <= freeBytes) {
                    signals.put(observed.getKey(), observed.getValue());
                    freeBytes -= size;
                }
            }
            return new UpstreamEntries(
                    unreachable, upstreams, silences, signals, maxBytes - freeBytes);
        }
    }

    /** What was last reported for a customer. Immutable. */
    private record LastReported(long tokens, int reportNumber) {
        private static final LastReported NEVER = new LastReported(0, Integer.MIN_VALUE);

        long unreported(CustomerUse use) {
            return use.tokens() - tokens;
        }
    }
}
