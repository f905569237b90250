package io.vanillapoint.core.upstream;

import io.vanillapoint.core.prompt.PrefixCacheModel;
import io.vanillapoint.core.prompt.PromptSummary;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Model of an engine in virtual time: each step generates one token for each running request and
 * processes one chunk of the most urgent waiting prompt. A waiting request that is more urgent than
 * a running one takes its place in a full batch; the preempted one processes its own part of the
 * prompt again.
 */
final class ReplayEngine {
    private static final int CHUNK_TOKENS = 2_048;

    private final ReplayTime time;
    private final int slots;
    private final int queueLimit;
    private final double stepMillis;
    private final double tokensPerMilli;
    private final long cacheTokens;
    private final List<Job> waiting = new ArrayList<>();
    private final List<Job> running = new ArrayList<>();
    private PrefixCacheModel cache;
    private boolean stepping;
    private boolean down;
    private long sequence;
    private int preemptions;

    /** A request at the engine. */
    static final class Job {
        private final PromptSummary prompt;
        private final int urgency;
        private final int events;
        private final Runnable firstEvent;
        private final Runnable end;
        private long order;
        private long tokens;
        private int generated;
        private boolean cancelled;

        Job(PromptSummary prompt, int urgency, int events, Runnable firstEvent, Runnable end) {
            this.prompt = prompt;
            this.urgency = urgency;
            this.events = events;
            this.firstEvent = firstEvent;
            this.end = end;
        }

        void cancel() {
            cancelled = true;
        }
    }

    ReplayEngine(
            ReplayTime time,
            int slots,
            int queueLimit,
            double stepMillis,
            double tokensPerMilli,
            long cacheTokens) {
        this.time = time;
        this.slots = slots;
        this.queueLimit = queueLimit;
        this.stepMillis = stepMillis;
        this.tokensPerMilli = tokensPerMilli;
        this.cacheTokens = cacheTokens;
        cache = new PrefixCacheModel(cacheTokens);
    }

    int preemptions() {
        return preemptions;
    }

    /** Accepts a request; false if the engine is down or its queue is full. */
    boolean submit(Job job) {
        if (down || waiting.size() >= queueLimit) {
            return false;
        }
        job.tokens = Math.max(1, job.prompt.promptTokens() - cache.cachedTokens(job.prompt));
        job.order = sequence++;
        cache.recordPrefill(job.prompt);
        waiting.add(job);
        step();
        return true;
    }

    /** Ends all requests without a response. */
    void crash() {
        down = true;
        List<Job> lost = new ArrayList<>(waiting);
        lost.addAll(running);
        waiting.clear();
        running.clear();
        lost.forEach(job -> job.end.run());
    }

    void restart() {
        down = false;
        cache = new PrefixCacheModel(cacheTokens);
    }

    private void step() {
        if (stepping) {
            return;
        }
        waiting.removeIf(job -> job.cancelled);
        running.removeIf(job -> job.cancelled);
        if (waiting.isEmpty() && running.isEmpty()) {
            return;
        }
        stepping = true;
        Job next = nextPrompt();
        long chunk = next == null ? 0 : Math.min(CHUNK_TOKENS, next.tokens);
        time.schedule(
                stepMillis + chunk / tokensPerMilli,
                () -> {
                    stepping = false;
                    complete(next, chunk);
                    step();
                });
    }

    private Job nextPrompt() {
        Comparator<Job> mostUrgent =
                Comparator.<Job>comparingInt(job -> job.urgency)
                        .thenComparingLong(job -> job.order);
        Job next = waiting.stream().min(mostUrgent).orElse(null);
        if (next == null || running.size() < slots) {
            return next;
        }
        Job last = running.stream().max(mostUrgent).orElseThrow();
        if (last.urgency <= next.urgency) {
            return null;
        }
        preemptions++;
        running.remove(last);
        last.tokens = last.prompt.promptTokens() - last.prompt.sharedTokens();
        waiting.add(last);
        return next;
    }

    private void complete(Job prompt, long chunk) {
        List<Job> batch = new ArrayList<>(running);
        if (prompt != null && !prompt.cancelled && waiting.contains(prompt)) {
            prompt.tokens -= chunk;
            if (prompt.tokens <= 0) {
                waiting.remove(prompt);
                running.add(prompt);
                batch.add(prompt);
            }
        }
        for (Job job : batch) {
            if (job.cancelled || !running.contains(job)) {
                continue;
            }
            if (++job.generated == 1) {
                job.firstEvent.run();
            }
            if (job.generated >= job.events) {
                running.remove(job);
                job.end.run();
            }
        }
    }
}
