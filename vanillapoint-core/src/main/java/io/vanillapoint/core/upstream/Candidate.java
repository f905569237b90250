package io.vanillapoint.core.upstream;

/**
 * A replica that may get a request, with the expected loss of the request's value there. Confined
 * to one thread.
 */
final class Candidate {
    /** Loss for a request that is never answered. */
    private static final double UNANSWERED_LOSS = 1;

    final ReplicaTracker tracker;
    final PlacementPath path;
    double loss;
    double expectedMillis;
    long uncachedTokens;
    LongPromptLimit.Headroom headroom = LongPromptLimit.Headroom.FREE;
    private double silenceLoss;

    Candidate(ReplicaTracker tracker, PlacementPath path) {
        this.tracker = tracker;
        this.path = path;
    }

    void addSilenceLoss(double usualRate) {
        silenceLoss = UNANSWERED_LOSS * Math.max(0, tracker.unansweredRate() - usualRate);
        loss += silenceLoss;
    }

    double lossIfAnswering() {
        return loss - silenceLoss;
    }
}
