package io.vanillapoint.core.upstream;

import io.vanillapoint.core.fleet.FleetReport;
import io.vanillapoint.core.fleet.SilenceCounts;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Evidence that a replica accepts requests without ever answering some of them, although it answers
 * others and its status calls.
 *
 * <p>A request counts as unanswered if nothing of its response has arrived long after the expected
 * time, and either a request that was sent later has been answered, or the replica has answered
 * nothing else in the meantime. So a replica with a long queue, which answers requests in the order
 * of their arrival, is not suspected. The evidence is withdrawn when the response begins after all,
 * and is reduced by each response to a request that was sent since. Time alone changes nothing.
 * Heartbeats carry what each VM has counted, so a VM also learns from the requests of the others.
 *
 * <p>While a replica is suspected, some of the requests that it would get otherwise still go there
 * as trials, the fewer the stronger the evidence. Invariants: the weight of unanswered requests is
 * not negative, and responses have weight only while there are some; at most one trial is pending.
 * Confined to one thread.
 */
final class SilenceEvidence {
    /** Time constant with which observations lose weight while others arrive. */
    private static final double DECAY_MILLIS = 1_000;

    /** Smallest weight of an observation relative to the next one, however rare they are. */
    private static final double MIN_DECAY = 0.85;

    /** Unanswered requests that count for less than this are forgotten. */
    private static final double MIN_UNANSWERED = 0.2;

    /** Weight of the assumption that the replica answers all requests. */
    private static final double PRIOR_ANSWERED = 2;

    /** Requests that go to other replicas between two trials if the replica answers none. */
    private static final double MAX_TRIAL_INTERVAL = 12;

    /** Requests sent within this time may reach the replica in any order. */
    private static final long ORDER_MILLIS = 50;

    /** More than a VM observes of one replica between two heartbeats. */
    private static final int MAX_OBSERVED = 100;

    private static final int URGENCIES = 10;
    private static final long NEVER = Long.MIN_VALUE / 2;

    /** Time for which counts are reported after the evidence has ended, so that all VMs hear it. */
    private static final long REPORT_MILLIS = 2_000;

    private final ResponseTimes times;

    /** By urgency, when the latest request that has been answered was sent. */
    private final long[] answeredSentAtMillis = new long[URGENCIES];

    /** What other VMs have reported, by VM. */
    private final Map<String, Heard> heard = new HashMap<>();

    /** Unanswered requests by weight. */
    private double unanswered;

    /** Responses to requests that were sent since, by weight. */
    private double answered;

    private int ownUnanswered;
    private int ownAnswered;
    private long reportUntilMillis = NEVER;
    private long suspectedSinceMillis = NEVER;
    private long observedAtMillis = NEVER;
    private long lastAnsweredMillis = NEVER;
    private AwaitedResponse trial;
    private int passedOver;

    SilenceEvidence(ResponseTimes times) {
        this.times = times;
        Arrays.fill(answeredSentAtMillis, NEVER);
    }

    /** Estimated probability that the replica does not answer a request. */
    double unansweredRate() {
        return unanswered / (unanswered + answered + PRIOR_ANSWERED);
    }

    /** Forgets everything about the previous process of the replica. */
    void reset() {
        unanswered = 0;
        answered = 0;
        ownUnanswered = 0;
        ownAnswered = 0;
        reportUntilMillis = NEVER;
        suspectedSinceMillis = NEVER;
        lastAnsweredMillis = NEVER;
        Arrays.fill(answeredSentAtMillis, NEVER);
        trial = null;
        passedOver = 0;
    }

    AwaitedResponse sent(long expectedMillis, OptionalInt urgency, long nowMillis) {
        AwaitedResponse response = new AwaitedResponse(this, expectedMillis, urgency, nowMillis);
        if (unanswered > 0) {
            trial = response;
            passedOver = 0;
        }
        return response;
    }

    /** Tells whether the next request should be a trial. */
    boolean trialDue() {
        return trial == null && passedOver >= MAX_TRIAL_INTERVAL * unansweredRate();
    }

    /** Records that a request went elsewhere only because of the evidence. */
    void passedOver() {
        passedOver++;
    }

    /** Time to the first byte that hardly any response of the service exceeds. */
    double usualLimitMillis() {
        return times.limitMillis();
    }

    /**
     * Tells whether the silence of a request can't be explained by the replica's queue.
     *
     * @param response the request
     * @param silenceMillis time without any response to this VM that a queue does not explain
     */
    boolean unexplained(AwaitedResponse response, double silenceMillis, long nowMillis) {
        long lastSignMillis = Math.max(lastAnsweredMillis, response.sentAtMillis());
        return overtaken(response) || nowMillis - lastSignMillis >= silenceMillis;
    }

    /** Tells whether a later request that was not more urgent has been answered. */
    private boolean overtaken(AwaitedResponse response) {
        for (int urgency = rank(response); urgency < URGENCIES; urgency++) {
            if (answeredSentAtMillis[urgency] >= response.sentAtMillis() + ORDER_MILLIS) {
                return true;
            }
        }
        return false;
    }

    private static int rank(AwaitedResponse response) {
        return Math.min(URGENCIES - 1, response.urgency().orElse(0));
    }

    void count(AwaitedResponse response, long nowMillis) {
        ownUnanswered++;
        addUnanswered(1, nowMillis);
        ended(response);
    }

    void answered(AwaitedResponse response, boolean counted, long nowMillis) {
        int urgency = rank(response);
        answeredSentAtMillis[urgency] =
                Math.max(answeredSentAtMillis[urgency], response.sentAtMillis());
        times.record(nowMillis - response.sentAtMillis());
        if (!counted && unanswered > 0 && response.sentAtMillis() >= suspectedSinceMillis) {
            ownAnswered++;
            addAnswered(1, nowMillis);
        }
        rejected(response, counted, nowMillis);
    }

    void rejected(AwaitedResponse response, boolean counted, long nowMillis) {
        lastAnsweredMillis = nowMillis;
        if (counted) {
            ownUnanswered = Math.max(0, ownUnanswered - 1);
            withdraw(1);
        }
        ended(response);
    }

    /** What this VM has counted, for the heartbeat; empty if there is no evidence. */
    Optional<SilenceCounts> counts(long nowMillis) {
        if (unanswered > 0) {
            reportUntilMillis = nowMillis + REPORT_MILLIS;
        } else if (nowMillis > reportUntilMillis) {
            ownUnanswered = 0;
            ownAnswered = 0;
            return Optional.empty();
        }
        return Optional.of(new SilenceCounts(ownUnanswered, ownAnswered));
    }

    /**
     * Adds what another VM has counted since its last report. Responses that it had counted before
     * this VM first heard of it are left out, since they may be older than the evidence here.
     *
     * @param report heartbeat of the VM
     * @param counts its counts, all 0 if it has none
     */
    void merge(FleetReport report, SilenceCounts counts, long nowMillis) {
        String vm = report.self().vm();
        Heard last = heard.get(vm);
        if (last == null && counts.equals(SilenceCounts.NONE)) {
            return;
        }
        if (last != null && last.supersedes(report)) {
            return;
        }
        heard.put(vm, new Heard(report.self().incarnation(), report.sequence(), counts));
        boolean startsAgain =
                last == null
                        || last.incarnation != report.self().incarnation()
                        || counts.answered() < last.counts.answered();
        int newUnanswered = counts.unanswered() - (startsAgain ? 0 : last.counts.unanswered());
        int newAnswered = startsAgain ? 0 : counts.answered() - last.counts.answered();
        if (newUnanswered > 0) {
            addUnanswered(Math.min(MAX_OBSERVED, newUnanswered), nowMillis);
        } else {
            withdraw(-newUnanswered);
        }
        addAnswered(Math.min(MAX_OBSERVED, newAnswered), nowMillis);
    }

    private void addUnanswered(int requests, long nowMillis) {
        if (unanswered == 0) {
            suspectedSinceMillis = nowMillis;
        }
        decay(requests, nowMillis);
        unanswered += requests;
    }

    private void addAnswered(int responses, long nowMillis) {
        decay(responses, nowMillis);
        answered += responses;
        forgetIfWeak();
    }

    /** Reduces the weight of what was observed before; time without observations has no effect. */
    private void decay(int observations, long nowMillis) {
        double byTime = Math.exp((observedAtMillis - nowMillis) / DECAY_MILLIS);
        double factor = Math.max(byTime, Math.pow(MIN_DECAY, observations));
        unanswered *= factor;
        answered *= factor;
        if (observations > 0) {
            observedAtMillis = nowMillis;
        }
    }

    private void withdraw(int requests) {
        unanswered -= requests;
        forgetIfWeak();
    }

    private void forgetIfWeak() {
        if (unanswered < MIN_UNANSWERED) {
            unanswered = 0;
            answered = 0;
        }
    }

    void ended(AwaitedResponse response) {
        if (trial == response) {
            trial = null;
        }
    }

    /** The last report of a VM. Immutable. */
    private record Heard(long incarnation, long sequence, SilenceCounts counts) {
        boolean supersedes(FleetReport report) {
            return report.self().incarnation() < incarnation
                    || (report.self().incarnation() == incarnation
                            && report.sequence() <= sequence);
        }
    }
}
