package io.vanillapoint.core.routing;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.message.RouteTarget;
import java.util.HashMap;
import java.util.Map;

/**
 * Loads of other regions as reported to one VM. Reports expire after a short time. Confined to one
 * thread; times are monotonic.
 */
public final class RegionLoads {
    private static final long REPORT_TTL_MILLIS = 3_000;
    private static final long QUERY_INTERVAL_MILLIS = 1_000;

    private final Map<Key, Report> reports = new HashMap<>();
    private final Map<Key, Long> lastQueryMillis = new HashMap<>();

    /**
     * Records a load report.
     *
     * @param nowMillis time
     * @param target model or service
     * @param region region that reports
     * @param load its load in requests per unit of capacity
     */
    public void report(long nowMillis, RouteTarget target, RegionId region, double load) {
        reports.put(new Key(target, region), new Report(nowMillis, load));
    }

    /**
     * Load of a region.
     *
     * @param nowMillis time
     * @param target model or service
     * @param region the region
     * @return its load in requests per unit of capacity, infinite if it is not known
     */
    public double load(long nowMillis, RouteTarget target, RegionId region) {
        Report report = reports.get(new Key(target, region));
        if (report == null || nowMillis - report.atMillis() > REPORT_TTL_MILLIS) {
            return Double.POSITIVE_INFINITY;
        }
        return report.load();
    }

    /**
     * Tells whether to query a region now and, if so, records the query.
     *
     * @param nowMillis time
     * @param target model or service
     * @param region the region
     * @return false if the region was queried recently
     */
    public boolean beginQueryIfDue(long nowMillis, RouteTarget target, RegionId region) {
        Key key = new Key(target, region);
        Long last = lastQueryMillis.get(key);
        if (last != null && nowMillis - last < QUERY_INTERVAL_MILLIS) {
            return false;
        }
        lastQueryMillis.put(key, nowMillis);
        return true;
    }

    private record Key(RouteTarget target, RegionId region) {}

    private record Report(long atMillis, double load) {}
}
