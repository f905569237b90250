package io.vanillapoint.core.fleet;

/**
 * The part of its sender's state that a heartbeat contains. Immutable.
 *
 * <p>Invariant: each upstream belongs to exactly one page of a given number of pages, on all VMs.
 *
 * @param number number of the page of upstreams, from 0
 * @param count number of pages over which the upstreams are spread, 1 or more
 * @param customersLeftOut true if the heartbeat contains only some of the sender's customers
 */
public record ReportPage(int number, int count, boolean customersLeftOut) {
    /** A single page that contains everything. */
    public static final ReportPage WHOLE = new ReportPage(0, 1, false);

    /** Checks that the page exists. */
    public ReportPage {
        if (count < 1 || number < 0 || number >= count) {
            throw new IllegalArgumentException(
                    "expected 0 <= page number < page count, found " + number + " of " + count);
        }
    }

    /**
     * Tells whether an upstream belongs to this page.
     *
     * @param upstream id of the upstream
     * @return true if an upstream that the heartbeat does not name has nothing outstanding
     */
    public boolean covers(String upstream) {
        return pageOf(upstream, count) == number;
    }

    /** Returns the page of an upstream, from 0. */
    static int pageOf(String upstream, int count) {
        return Math.floorMod(upstream.hashCode(), count);
    }
}
