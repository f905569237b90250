package io.vanillapoint.emulator.scenario;

/**
 * A disruption during a run. Immutable.
 *
 * @param kind kind of disruption
 * @param atSecond start, in seconds of the run
 * @param seconds duration
 * @param region affected region
 * @param factor fraction of the region's engines ({@code ENGINES_CRASH}) or factor on its request
 *     rate ({@code BURST}); unused by the other kinds
 */
public record Trouble(Kind kind, double atSecond, double seconds, String region, double factor) {
    /** Kinds of disruptions. */
    public enum Kind {
        /** Engines crash, lose their requests and restart with empty caches. */
        ENGINES_CRASH,
        /** The region's zone is evacuated: its engines receive no new requests. */
        EVACUATION,
        /** Network partition between the region's VMs and all other regions. */
        REGION_CUT,
        /** The region's request rate rises. */
        BURST
    }

    /**
     * Tells whether the disruption is in effect.
     *
     * @param second seconds of the run
     * @return true from the start until before the end
     */
    public boolean active(double second) {
        return second >= atSecond && second < atSecond + seconds;
    }
}
