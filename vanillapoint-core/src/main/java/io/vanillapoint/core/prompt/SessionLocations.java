package io.vanillapoint.core.prompt;

import io.vanillapoint.core.fleet.SessionCacheEntry;
import io.vanillapoint.core.hash.Rendezvous;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks which engines have recently processed which sessions' prompts, from the heartbeats of all
 * VMs. One such processing is called a read.
 *
 * <p>Handles peak hours that move from region to region, together with sessions whose prompts other
 * engines have just processed. Invariants: holds at most a fixed number of sessions and a few
 * engines for each, the most recent first. Confined to one thread.
 */
public final class SessionLocations {
    /** Time after which a busy engine has probably evicted a session from its cache. */
    private static final long CACHE_TTL_MILLIS = 12_000;

    /** Heartbeats repeat reads for this long, so that most reads reach all VMs. */
    private static final long REPORT_WINDOW_MILLIS = 900;

    /** Limit that keeps a heartbeat within one datagram on every link. */
    private static final int MAX_REPORTED_READS = 24;

    private static final int MAX_SESSIONS = 20_000;
    private static final int MAX_ENGINES_PER_SESSION = 4;
    private static final float LOAD_FACTOR = 0.75f;

    private final Map<Long, List<Read>> sessions =
            new LinkedHashMap<>(256, LOAD_FACTOR, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, List<Read>> eldest) {
                    return size() > MAX_SESSIONS;
                }
            };

    private final ArrayDeque<LocalRead> localReads = new ArrayDeque<>();

    /**
     * Records that this VM sends a session's request to an engine.
     *
     * @param prompt the prompt
     * @param upstream id of the engine
     * @param nowMillis monotonic time
     */
    public void recordSent(PromptSummary prompt, String upstream, long nowMillis) {
        if (prompt.sharedParts().isEmpty()) {
            return;
        }
        long session = sessionHash(prompt);
        recordRead(session, upstream, nowMillis);
        localReads.addLast(new LocalRead(session, upstream, nowMillis));
        while (localReads.peekFirst().atMillis < nowMillis - REPORT_WINDOW_MILLIS) {
            localReads.removeFirst();
        }
    }

    /**
     * Merges the reads that another VM reports.
     *
     * @param reads reads of that VM
     * @param nowMillis monotonic time
     */
    public void mergeReads(List<SessionCacheEntry> reads, long nowMillis) {
        for (SessionCacheEntry read : reads) {
            recordRead(read.session(), read.upstream(), nowMillis - read.ageMillis());
        }
    }

    /**
     * Recent reads of this VM for the next heartbeat.
     *
     * @param nowMillis monotonic time
     * @return new list
     */
    public List<SessionCacheEntry> recentReads(long nowMillis) {
        List<SessionCacheEntry> reads = new ArrayList<>();
        for (LocalRead read : localReads) {
            boolean hasRoom = reads.size() < MAX_REPORTED_READS;
            if (hasRoom && read.atMillis >= nowMillis - REPORT_WINDOW_MILLIS) {
                reads.add(
                        new SessionCacheEntry(
                                read.session, read.upstream, nowMillis - read.atMillis));
            }
        }
        return reads;
    }

    /**
     * Engines that probably have the shared parts of a prompt in their cache.
     *
     * @param prompt the prompt
     * @param nowMillis monotonic time
     * @return ids of engines, the one with the most recent read first
     */
    public List<String> enginesCaching(PromptSummary prompt, long nowMillis) {
        List<Read> reads = sessions.get(sessionHash(prompt));
        if (reads == null || prompt.sharedParts().isEmpty()) {
            return List.of();
        }
        return reads.stream()
                .filter(read -> read.atMillis >= nowMillis - CACHE_TTL_MILLIS)
                .map(read -> read.upstream)
                .toList();
    }

    private void recordRead(long session, String upstream, long atMillis) {
        List<Read> reads = sessions.computeIfAbsent(session, unused -> new ArrayList<>());
        Iterator<Read> known = reads.iterator();
        long newest = atMillis;
        while (known.hasNext()) {
            Read read = known.next();
            if (read.upstream.equals(upstream)) {
                newest = Math.max(newest, read.atMillis);
                known.remove();
            }
        }
        int index = 0;
        while (index < reads.size() && reads.get(index).atMillis > newest) {
            index++;
        }
        reads.add(index, new Read(upstream, newest));
        if (reads.size() > MAX_ENGINES_PER_SESSION) {
            reads.remove(reads.size() - 1);
        }
    }

    private static long sessionHash(PromptSummary prompt) {
        return Rendezvous.weight(prompt.affinityKey(), prompt.model());
    }

    /** The latest read of a session by an engine. */
    private record Read(String upstream, long atMillis) {}

    /** A read that this VM caused. */
    private record LocalRead(long session, String upstream, long atMillis) {}
}
