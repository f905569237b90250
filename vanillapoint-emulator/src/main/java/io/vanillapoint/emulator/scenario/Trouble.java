package io.vanillapoint.emulator.scenario;

/**
 * Something that goes wrong. Immutable.
 *
 * @param kind what
 * @param atSecond when
 * @param seconds for how long
 * @param region where
 * @param factor how strong: part of the engines, or times the traffic
 */
public record Trouble(Kind kind, double atSecond, double seconds, String region, double factor) {
    /** Kinds of troubles. */
    public enum Kind {
        /** Engines end with all that they run and come back empty. */
        ENGINES_CRASH,
        /** The zone's engines may get nothing new. */
        EVACUATION,
        /** The region's VMs and those of other regions don't reach each other. */
        REGION_CUT,
        /** The region's callers send more. */
        BURST
    }

    /**
     * Tells whether it is under way.
     *
     * @param second time
     * @return true between its start and its end
     */
    public boolean active(double second) {
        return second >= atSecond && second < atSecond + seconds;
    }
}
