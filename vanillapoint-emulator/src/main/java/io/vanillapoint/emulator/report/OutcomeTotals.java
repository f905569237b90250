package io.vanillapoint.emulator.report;

/**
 * Outcomes of the requests of one kind, of one region or of a whole run. Confined to one thread.
 */
public final class OutcomeTotals {
    private long asked;
    private long inTime;
    private long late;
    private long refused;
    private long failed;
    private double earnedWorth;
    private double possibleWorth;

    /**
     * Counts an answered request.
     *
     * @param onTime true if its first event was on time
     * @param worth worth that it earned
     * @param fullWorth worth of an answer in time
     */
    public void answered(boolean onTime, double worth, double fullWorth) {
        asked++;
        if (onTime) {
            inTime++;
        } else {
            late++;
        }
        earnedWorth += worth;
        possibleWorth += fullWorth;
    }

    /**
     * Counts a refused request.
     *
     * @param fullWorth worth of an answer in time
     */
    public void refused(double fullWorth) {
        asked++;
        refused++;
        possibleWorth += fullWorth;
    }

    /**
     * Counts a request that failed or that its caller abandoned at the deadline.
     *
     * @param fullWorth worth of an answer in time
     */
    public void failed(double fullWorth) {
        asked++;
        failed++;
        possibleWorth += fullWorth;
    }

    /**
     * Earned fraction of the possible worth.
     *
     * @return value from 0 to 1; 1 without any request
     */
    public double worth() {
        return possibleWorth == 0 ? 1 : earnedWorth / possibleWorth;
    }

    /**
     * Numbers of requests: asked, in time, late, refused, failed.
     *
     * @return new array
     */
    public long[] counts() {
        return new long[] {asked, inTime, late, refused, failed};
    }
}
