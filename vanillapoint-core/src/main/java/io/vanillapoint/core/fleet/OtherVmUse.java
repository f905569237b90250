package io.vanillapoint.core.fleet;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Requests that all other VMs have outstanding, by upstream.
 *
 * <p>Maintained with each heartbeat, so that a request need not visit each VM. Invariant: the sum
 * of an upstream is the sum over {@link Member#countedUse} of all VMs. Confined to one thread.
 */
final class OtherVmUse {
    private final Map<String, UpstreamUse> sums = new HashMap<>();

    UpstreamUse of(String upstream) {
        return sums.getOrDefault(upstream, UpstreamUse.NONE);
    }

    /** Replaces what is counted for a VM, as far as its heartbeat covers it. */
    void apply(Member member, FleetReport report, boolean restarted) {
        Iterator<Map.Entry<String, UpstreamUse>> entries =
                member.countedUse().entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<String, UpstreamUse> use = entries.next();
            if (restarted || report.page().covers(use.getKey())) {
                add(use.getKey(), use.getValue(), -1);
                entries.remove();
            }
        }
        report.upstreams()
                .forEach(
                        (upstream, use) -> {
                            if (report.page().covers(upstream)) {
                                member.countedUse().put(upstream, use);
                                add(upstream, use, 1);
                            }
                        });
    }

    /** Counts nothing more for a VM. */
    void remove(Member member) {
        member.countedUse().forEach((upstream, use) -> add(upstream, use, -1));
        member.countedUse().clear();
    }

    private void add(String upstream, UpstreamUse use, int sign) {
        UpstreamUse signed = sign < 0 ? use.negated() : use;
        UpstreamUse sum = sums.merge(upstream, signed, UpstreamUse::plus);
        if (sum.equals(UpstreamUse.NONE)) {
            sums.remove(upstream);
        }
    }
}
