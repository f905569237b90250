package io.vanillapoint.server.event;

import io.vanillapoint.api.event.Event;
import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventLevel;
import io.vanillapoint.api.event.EventSink;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Keeps the newest events in memory for the time line and writes every event to the log.
 *
 * <p>Invariant: never keeps more events than its limit. Safe for use by several threads.
 */
public final class EventRecorder implements EventSink {
    private static final Logger LOG = LogManager.getLogger("io.vanillapoint.events");

    private final String source;
    private final HybridClock clock;
    private final int limit;
    private final ArrayDeque<Event> recentEvents = new ArrayDeque<>();
    private long brokenInvariants;

    /**
     * Creates a recorder.
     *
     * @param source name of this process, stored in each event
     * @param clock clock that timestamps the events
     * @param limit number of events to keep
     */
    public EventRecorder(String source, HybridClock clock, int limit) {
        this.source = source;
        this.clock = clock;
        this.limit = limit;
    }

    @Override
    public void record(EventCode code, Object... values) {
        List<String> texts = Arrays.stream(values).map(String::valueOf).toList();
        Event event = new Event(clock.next(), source, code, texts);
        append(event);
        LOG.log(logLevel(code.level()), "{}", event.text());
    }

    /**
     * Kept events, oldest first.
     *
     * @return immutable copy
     */
    public synchronized List<Event> events() {
        return List.copyOf(new ArrayList<>(recentEvents));
    }

    /**
     * Counts broken invariants.
     *
     * @return number of {@link EventCode#INVARIANT_BROKEN} events since the start
     */
    public synchronized long brokenInvariants() {
        return brokenInvariants;
    }

    private synchronized void append(Event event) {
        if (event.code() == EventCode.INVARIANT_BROKEN) {
            brokenInvariants++;
        }
        recentEvents.addLast(event);
        if (recentEvents.size() > limit) {
            recentEvents.removeFirst();
        }
    }

    private static Level logLevel(EventLevel level) {
        return switch (level) {
            case DEBUG -> Level.DEBUG;
            case INFO -> Level.INFO;
            case WARN -> Level.WARN;
            case ERROR -> Level.ERROR;
        };
    }
}
