package io.vanillapoint.entry.traffic;

import io.vanillapoint.entry.port.ResponseEnvelope;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Delivers the response of one request: a stream event by event, also if several attempts
 * contribute to it, any other response once it is complete.
 *
 * <p>Invariants: the sink gets one head at most, that of a stream together with its first event, so
 * that a stream which breaks off before can still be refused, unless a VM that relayed the request
 * is told earlier; bytes of a stream reach it only as whole events until its end. Confined to one
 * event loop.
 */
final class ResponseDelivery {
    private final ResponseSink sink;
    private final EventStreamReader events = new EventStreamReader(this::writeEvents);
    private long bytesSent;
    private boolean begun;
    private RunningAttempt origin;
    private Optional<String> defect = Optional.empty();

    ResponseDelivery(ResponseSink sink) {
        this.sink = sink;
    }

    /** Tells whether the head has been sent, so that no refusal is possible any more. */
    boolean begun() {
        return begun;
    }

    long bytesSent() {
        return bytesSent;
    }

    /** Id of the event after which another attempt goes on, empty for a stream from its start. */
    OptionalLong resumeAfter(RequestPlan plan) {
        return events.lastId().isPresent() ? events.lastId() : plan.envelope().lastEventId();
    }

    /** Begins or goes on with a stream; its head is that of the attempt with the first event. */
    void beginStream(RunningAttempt attempt) {
        if (!begun) {
            origin = attempt;
        }
    }

    /** Sends the head of a stream before its first event, to a VM that relayed the request. */
    void sendStreamHead() {
        if (!begun) {
            begun = true;
            ResponseEnvelope head = origin.response();
            sink.head(head.status(), head.headers(), OptionalLong.empty());
        }
    }

    /** Tells whether a successful response can go on with the stream that has begun, if any. */
    boolean accepts(ResponseEnvelope head) {
        return !begun || head.mediaType().equals(origin.response().mediaType());
    }

    /** Tells whether another attempt can go on with the response. */
    boolean resumable() {
        return events.resumable();
    }

    /**
     * Reads bytes of a stream and delivers the events that they complete.
     *
     * @return number of new events, negative if the attempt has to be abandoned
     */
    long readStream(RunningAttempt attempt, Buffer data) {
        long previousCount = events.eventCount();
        boolean usable = events.read(data, continues(attempt));
        defect = usable ? memoryDefect(attempt, events.partialEvent()) : events.defect();
        return defect.isEmpty() ? events.eventCount() - previousCount : -1;
    }

    private static Optional<String> memoryDefect(RunningAttempt attempt, Buffer heldBack) {
        return attempt.holdBack(heldBack.length())
                ? Optional.empty()
                : Optional.of("incomplete event exceeds the memory budget");
    }

    /** Bytes after the last complete event. */
    Buffer partialEvent() {
        return events.partialEvent();
    }

    /** Why the attempt that was read last has to be abandoned. */
    Optional<String> defect() {
        return defect;
    }

    /** Examines what has been kept back of an attempt since the last call for it. */
    EventStreamReader.Contribution examine(RunningAttempt attempt) {
        KeptBackStream keptBack = attempt.keptBack();
        EventStreamReader.Contribution contribution = events.examine(keptBack, continues(attempt));
        return contribution.newEvent() || contribution.defect().isPresent()
                ? contribution
                : new EventStreamReader.Contribution(
                        false, memoryDefect(attempt, keptBack.bytes()));
    }

    /** Discards a partial event before another attempt goes on with the stream. */
    void restartEvent() {
        events.restart();
    }

    /**
     * Tells whether a stream that has ended broke off, however its body was delimited: one that
     * ended inside an event, or that ended with its connection or went on with the stream of
     * another attempt and has no new event.
     */
    boolean brokeOff(RunningAttempt attempt, boolean framed) {
        boolean needsEvent = !framed || continues(attempt);
        if (needsEvent && attempt.progress().pieces() == 0) {
            return true;
        }
        boolean holdsEvents = needsEvent || attempt.response().mayHoldEvents();
        return holdsEvents
                && (EventStreamReader.endsInsideEvent(events.partialEvent())
                        || EventStreamReader.endsInsideEvent(attempt.keptBack().partialEvent()));
    }

    /** Ends a complete stream. */
    void endStream() {
        sendStreamHead();
        writeEvents(events.partialEvent());
        sink.end();
    }

    /** Sends a response that is complete. */
    void send(ResponseEnvelope head, Buffer body) {
        sink.head(head.status(), head.headers(), OptionalLong.of(body.length()));
        begun = true;
        bytesSent = body.length();
        if (body.length() > 0) {
            sink.write(body);
        }
        sink.end();
    }

    private void writeEvents(Buffer completeEvents) {
        if (completeEvents.length() > 0) {
            sendStreamHead();
            bytesSent += completeEvents.length();
            sink.write(completeEvents);
        }
    }

    /** Tells whether an attempt goes on with a stream that another one has begun. */
    private boolean continues(RunningAttempt attempt) {
        return begun && attempt != origin;
    }
}
