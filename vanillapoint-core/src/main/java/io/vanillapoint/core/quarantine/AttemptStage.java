package io.vanillapoint.core.quarantine;

/** How far an engine's response to an attempt was when its connection broke. Immutable. */
public enum AttemptStage {
    /** Nothing was received; the engine may not have begun the request. */
    WAITING(2, 2),
    /** The response had just begun and some of it was received. */
    BEGINNING(2, 2),
    /** The head of the response was received and nothing else. */
    STARTED(4, 2),
    /** The engine had been responding for a while. */
    RESPONDING(0, 0);

    /** Time after the head of a response during which it counts as just begun. */
    private static final long BEGINNING_MILLIS = 300;

    private final int soleWeight;
    private final int sharedWeight;

    AttemptStage(int soleWeight, int sharedWeight) {
        this.soleWeight = soleWeight;
        this.sharedWeight = sharedWeight;
    }

    /**
     * Classifies an attempt.
     *
     * @param headAgeMillis time since the head of the response arrived, negative if it has not
     * @param events number of events received, for a response that is not a stream the chunks
     * @return its stage
     */
    public static AttemptStage of(long headAgeMillis, long events) {
        if (headAgeMillis < 0) {
            return WAITING;
        }
        if (events == 0) {
            return STARTED;
        }
        return headAgeMillis <= BEGINNING_MILLIS ? BEGINNING : RESPONDING;
    }

    /**
     * Tells whether the attempt may have crashed its engine.
     *
     * @return false if the engine had responded to it for a while without harm
     */
    public boolean suspect() {
        return soleWeight > 0;
    }

    /**
     * Weight of a crash as evidence against a prompt part of the attempt.
     *
     * @param sole true if all other attempts at this stage on the engine have the part too
     * @return weight, compared with {@link PromptQuarantine#THRESHOLD}
     */
    int weight(boolean sole) {
        return sole ? soleWeight : sharedWeight;
    }
}
