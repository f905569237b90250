package io.vanillapoint.entry.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventSink;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Writes each event as one line of JSON. Lines are buffered and flushed a few times a second, so
 * that single lines cause no wake-ups.
 *
 * <p>Invariants: at most a fixed number of lines per event and second is written; the others are
 * dropped, and their number is logged. Recording never blocks and never throws: an event that can't
 * be written is dropped too. Confined to one thread.
 */
public final class DecisionLog implements EventSink {
    /** Enough for twice the decisions of a VM at its planned share of requests. */
    private static final int MAX_LINES_PER_EVENT_AND_SECOND = 300;

    private static final long MILLIS_PER_SECOND = 1_000;

    private final String vm;
    private final LongSupplier wallMillis;
    private final LineWriter writer;
    private final JsonFactory json = new JsonFactory();
    private final int[] linesThisSecond = new int[EventCode.values().length];
    private final Map<EventCode, Integer> droppedLines = new EnumMap<>(EventCode.class);
    private StringWriter batch = new StringWriter();
    private long currentSecond;

    /**
     * Creates a log.
     *
     * @param vm name of this VM
     * @param wallMillis wall-clock time in milliseconds since 1970
     * @param writer output of batches of lines
     */
    public DecisionLog(String vm, LongSupplier wallMillis, LineWriter writer) {
        this.vm = vm;
        this.wallMillis = wallMillis;
        this.writer = writer;
    }

    @Override
    public void record(EventCode code, Object... values) {
        int written = batch.getBuffer().length();
        try {
            recordWithinLimit(code, values);
        } catch (Throwable e) {
            batch.getBuffer().setLength(written);
            droppedLines.merge(code, 1, Integer::sum);
        }
    }

    private void recordWithinLimit(EventCode code, Object... values) {
        long now = wallMillis.getAsLong();
        startNewSecond(now);
        if (++linesThisSecond[code.ordinal()] > MAX_LINES_PER_EVENT_AND_SECOND) {
            droppedLines.merge(code, 1, Integer::sum);
            return;
        }
        write(now, code, values);
    }

    /** Passes the buffered lines to the writer. */
    public void flush() {
        if (batch.getBuffer().length() == 0) {
            return;
        }
        String text = batch.toString();
        batch = new StringWriter();
        if (!writer.offer(text)) {
            droppedLines.merge(EventCode.LINES_LEFT_OUT, (int) text.lines().count(), Integer::sum);
        }
    }

    private void startNewSecond(long now) {
        if (now / MILLIS_PER_SECOND == currentSecond) {
            return;
        }
        currentSecond = now / MILLIS_PER_SECOND;
        Arrays.fill(linesThisSecond, 0);
        Map<EventCode, Integer> counts = new EnumMap<>(droppedLines);
        droppedLines.clear();
        counts.forEach(
                (event, count) -> write(now, EventCode.LINES_LEFT_OUT, event.number(), count));
    }

    private void write(long now, EventCode code, Object... values) {
        try (JsonGenerator out = json.createGenerator(batch)) {
            out.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
            out.writeStartObject();
            out.writeNumberField("at", now);
            out.writeStringField("vm", vm);
            out.writeNumberField("event", code.number());
            out.writeStringField("name", code.title());
            List<String> names = code.fields();
            for (int i = 0; i < names.size() && i < values.length; i++) {
                writeField(out, names.get(i), values[i]);
            }
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        batch.append('\n');
    }

    private static void writeField(JsonGenerator out, String name, Object value)
            throws IOException {
        if (value instanceof Long number) {
            out.writeNumberField(name, number);
        } else if (value instanceof Integer number) {
            out.writeNumberField(name, number);
        } else if (value instanceof Double number) {
            out.writeNumberField(name, Math.round(number * 1_000) / 1_000.0);
        } else if (value instanceof Boolean flag) {
            out.writeBooleanField(name, flag);
        } else {
            out.writeStringField(name, String.valueOf(value));
        }
    }
}
