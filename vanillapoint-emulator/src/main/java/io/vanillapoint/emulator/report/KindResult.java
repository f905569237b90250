package io.vanillapoint.emulator.report;

/** What became of the requests of one kind or region. Confined to one thread. */
public final class KindResult {
    private long asked;
    private long inTime;
    private long late;
    private long refused;
    private long failed;
    private double earned;
    private double owed;

    /**
     * Counts a request that was answered.
     *
     * @param onTime true if its first event was on time
     * @param worth what it earned
     * @param full what it could have earned
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
     * Counts a request that was refused.
     *
     * @param full what it could have earned
     */
    public void refused(double full) {
        asked++;
        refused++;
        owed += full;
    }

    /**
     * Counts a request that failed or outlived its caller's patience.
     *
     * @param full what it could have earned
     */
    public void failed(double full) {
        asked++;
        failed++;
        owed += full;
    }

    /**
     * Part of the worth that was earned.
     *
     * @return from 0 to 1, 1 if nothing was owed
     */
    public double worth() {
        return owed == 0 ? 1 : earned / owed;
    }

    /**
     * Numbers for a table: asked, in time, late, refused, failed.
     *
     * @return new array
     */
    public long[] counts() {
        return new long[] {asked, inTime, late, refused, failed};
    }
}
