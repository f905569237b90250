package io.vanillapoint.core.upstream;

/**
 * Distribution of the times to the first byte of the responses of one service, as smoothed mean and
 * deviation, like the retransmission timeout of RFC 6298.
 *
 * <p>Handles services that become slow as a whole: what counts as unusually late then grows with
 * the responses that arrive. Confined to one thread.
 */
final class ResponseTimes {
    private static final double MEAN_GAIN = 0.125;
    private static final double DEVIATION_GAIN = 0.25;
    private static final int LIMIT_DEVIATIONS = 4;

    /** Limit until a response has been measured. */
    private static final double INITIAL_LIMIT_MILLIS = 1_000;

    private double mean;
    private double deviation;
    private boolean measured;

    void record(long millis) {
        if (!measured) {
            measured = true;
            mean = millis;
            deviation = millis / 2.0;
            return;
        }
        deviation += DEVIATION_GAIN * (Math.abs(millis - mean) - deviation);
        mean += MEAN_GAIN * (millis - mean);
    }

    /** Time to the first byte that hardly any response exceeds, in milliseconds. */
    double limitMillis() {
        return measured ? mean + LIMIT_DEVIATIONS * deviation : INITIAL_LIMIT_MILLIS;
    }
}
