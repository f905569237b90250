package io.vanillapoint.core.upstream;

/** Outcomes of one kind of request. */
final class ReplayTotals {
    int offered;
    int inTime;
    int late;
    int refused;
    int failed;
    double lastPlacedMillis = -1;
    double longestGapMillis;

    void placed(double atMillis) {
        longestGapMillis = Math.max(longestGapMillis, atMillis - lastPlacedMillis);
        lastPlacedMillis = atMillis;
    }

    void notPlaced(double atMillis) {
        longestGapMillis = Math.max(longestGapMillis, atMillis - lastPlacedMillis);
    }

    double inTimeShare() {
        return (double) inTime / Math.max(1, offered);
    }

    @Override
    public String toString() {
        return "%d offered, %.3f in time, %d late, %d refused, %d failed, gap %.0f ms"
                .formatted(offered, inTimeShare(), late, refused, failed, longestGapMillis);
    }
}
