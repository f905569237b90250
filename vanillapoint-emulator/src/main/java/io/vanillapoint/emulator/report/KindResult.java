package io.vanillapoint.emulator.report;

/**
 * Outcomes of the requests of one kind, of one region or of a whole run. Confined to one thread.
 */
public final class KindResult {
    private long asked;
    private long inTime;
    private long late;
    private long refused;
    private long failed;
    private double earned;
    private double owed;

    /**
     * Counts an answered request.
     *
     * @param onTime true if its first event was on time
     * @param worth worth that it earned
     * @param full worth of an answer in time
     */
    public void answered(boolean onTime, double worth, double full) {
        asked++;
        if (onTime) {
            inTime++;
        } else {
            late++;
        }
        earned += worth;
        owed += full;
    }

    /**
     * Counts a refused request.
     *
     * @param full worth of an answer in time
     */
    public void refused(double full) {
        asked++;
        refused++;
        owed += full;
    }

    /**
     * Counts a request that failed or that its caller abandoned at the deadline.
     *
     * @param full worth of an answer in time
     */
    public void failed(double full) {
        asked++;
        failed++;
        owed += full;
    }

    /**
     * Earned fraction of the possible worth.
     *
     * @return value from 0 to 1; 1 without any request
     */
    public double worth() {
        return owed == 0 ? 1 : earned / owed;
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
