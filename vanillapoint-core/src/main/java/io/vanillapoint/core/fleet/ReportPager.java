package io.vanillapoint.core.fleet;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Chooses what a heartbeat says, so that it fits one packet however large the fleet is.
 *
 * <p>Load pattern: dozens of VMs, upstreams and customers no longer fit one datagram; one that is
 * longer than a packet is lost with any of its parts, and one that is longer than the receiver's
 * buffer is cut off. What matters first comes first: the sender itself, then customers by what has
 * not been told of them, upstreams page by page, another VM, sessions last. Invariant: the estimate
 * of a report's encoded size is an upper bound and never exceeds {@link #PACKET_BYTES}. Confined to
 * one thread.
 */
public final class ReportPager {
    /**
     * Bytes of a datagram that every link carries in one packet, headers of tunnels allowed for.
     */
    public static final int PACKET_BYTES = 1_200;

    /** Customers' part of a packet in bytes, about sixteen of them. */
    private static final int CUSTOMER_BYTES = 400;

    /** Upstreams' part of a packet in bytes, about twenty of them. */
    private static final int UPSTREAM_BYTES = 450;

    /** Fields of a report outside its lists and its sender, in bytes. */
    private static final int HEAD_BYTES = 70;

    /** Field header and length of a text, or header and most bytes of a number of 64 bits. */
    private static final int TEXT_BYTES = 3;

    private static final int NUMBER_BYTES = 11;
    private static final int SHORT_NUMBER_BYTES = 6;
    private static final int END_BYTES = 1;

    /**
     * Draws pages and VMs: a receiver that is sent to in every eighth beat would meet the same half
     * of them again and again if they came in turn.
     */
    private final SplittableRandom random;

    private final Map<String, Told> told = new HashMap<>();
    private int beats;

    /**
     * Creates a pager that has told nothing.
     *
     * @param seed differs from VM to VM, so that not all name the same VMs at once
     */
    public ReportPager(long seed) {
        random = new SplittableRandom(seed);
    }

    /**
     * Fills a report.
     *
     * @param report report that says what its sender is; the rest is set here
     * @param self the sender
     * @param knowledge what could be told
     * @param mostMembers VMs to name at most
     */
    public void fill(
            FleetReport.Builder report, MemberInfo self, Knowledge knowledge, int mostMembers) {
        beats++;
        int left = PACKET_BYTES - HEAD_BYTES - size(self);
        Map<String, CustomerUse> customers = customers(knowledge.customers());
        left -= customers.entrySet().stream().mapToInt(ReportPager::customerSize).sum();
        int pages = pages(knowledge.upstreams());
        boolean leftOut = customers.size() < knowledge.customers().size();
        ReportPage page = new ReportPage(random.nextInt(pages), pages, leftOut);
        Map<String, UpstreamUse> upstreams = new HashMap<>();
        for (Map.Entry<String, UpstreamUse> use : knowledge.upstreams().entrySet()) {
            int size = size(use.getKey());
            if (page.covers(use.getKey()) && size <= left) {
                upstreams.put(use.getKey(), use.getValue());
                left -= size;
            }
        }
        List<HeardMember> others = new ArrayList<>();
        List<HeardMember> heard = knowledge.members();
        int first = heard.isEmpty() ? 0 : random.nextInt(heard.size());
        for (int i = 0; i < Math.min(mostMembers, heard.size()); i++) {
            HeardMember member = heard.get((first + i) % heard.size());
            left -= size(member.info());
            if (left < 0) {
                break;
            }
            others.add(member);
        }
        List<SessionRead> reads = new ArrayList<>();
        for (SessionRead read : knowledge.reads()) {
            left -= NUMBER_BYTES + text(read.upstream()) + SHORT_NUMBER_BYTES + END_BYTES;
            if (left < 0) {
                break;
            }
            reads.add(read);
        }
        report.page(page).customers(customers).upstreams(upstreams).others(others).reads(reads);
    }

    /** Those of whom most has not been told, then those that were told longest ago. */
    private Map<String, CustomerUse> customers(Map<String, CustomerUse> uses) {
        List<Map.Entry<String, CustomerUse>> order = new ArrayList<>(uses.entrySet());
        order.sort(
                Comparator.comparingLong(
                                (Map.Entry<String, CustomerUse> use) ->
                                        -Math.abs(told(use).behind(use.getValue())))
                        .thenComparingInt(use -> told(use).atBeat));
        Map<String, CustomerUse> chosen = new HashMap<>();
        int left = CUSTOMER_BYTES;
        for (Map.Entry<String, CustomerUse> use : order) {
            left -= customerSize(use);
            if (left < 0) {
                break;
            }
            chosen.put(use.getKey(), use.getValue());
            told.put(use.getKey(), new Told(use.getValue().tokens(), beats));
        }
        return chosen;
    }

    private Told told(Map.Entry<String, CustomerUse> use) {
        return told.getOrDefault(use.getKey(), Told.NOTHING);
    }

    private static int pages(Map<String, UpstreamUse> upstreams) {
        int bytes = upstreams.keySet().stream().mapToInt(ReportPager::size).sum();
        return Math.max(1, (bytes + UPSTREAM_BYTES - 1) / UPSTREAM_BYTES);
    }

    private static int customerSize(Map.Entry<String, CustomerUse> use) {
        return text(use.getKey()) + 2 * NUMBER_BYTES + END_BYTES;
    }

    private static int size(String upstream) {
        return text(upstream) + SHORT_NUMBER_BYTES + NUMBER_BYTES + END_BYTES;
    }

    private static int size(MemberInfo info) {
        return text(info.vm())
                + text(info.host())
                + text(info.region().value())
                + text(info.zone().value())
                + 2 * NUMBER_BYTES
                + 2 * SHORT_NUMBER_BYTES
                + END_BYTES;
    }

    private static int text(String text) {
        return TEXT_BYTES + text.getBytes(StandardCharsets.UTF_8).length;
    }

    /**
     * What a VM could tell the others. Immutable, but for collections that the caller changes.
     *
     * @param customers tokens by name of the customer
     * @param upstreams what is outstanding by id of the upstream
     * @param reads sessions that engines have read, the ones to tell first at the front
     * @param members other VMs
     */
    public record Knowledge(
            Map<String, CustomerUse> customers,
            Map<String, UpstreamUse> upstreams,
            List<SessionRead> reads,
            List<HeardMember> members) {}

    /** What was told of a customer last. Immutable. */
    private record Told(long tokens, int atBeat) {
        private static final Told NOTHING = new Told(0, Integer.MIN_VALUE);

        long behind(CustomerUse use) {
            return use.tokens() - tokens;
        }
    }
}
