package io.vanillapoint.server.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vanillapoint.api.plugin.UsageMeter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Meters a response of the chat-completions protocol. A successful response that reports no usage
 * is charged all reserved tokens. Lines are reassembled from parts that may be split anywhere, even
 * inside a UTF-8 character. Confined to one thread.
 */
final class ChatUsageMeter implements UsageMeter {
    private static final ObjectMapper MAPPER = JsonLimits.mapper();
    private static final int MAX_LINE_BYTES = 1 << 20;
    private static final String DATA_FIELD = "data:";
    private static final String END_MARKER = "[DONE]";

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private boolean eventStream;
    private boolean failed;
    private boolean endMarkerSeen;
    private long reportedTokens = -1;

    @Override
    public void onHead(int status, String contentType) {
        eventStream = contentType.startsWith("text/event-stream");
        failed = status >= 400;
    }

    @Override
    public void onData(byte[] bytes) {
        for (byte next : bytes) {
            if (eventStream && next == '\n') {
                processLine(line.toString(StandardCharsets.UTF_8).trim());
                line.reset();
            } else if (line.size() < MAX_LINE_BYTES) {
                line.write(next);
            }
        }
    }

    @Override
    public boolean isComplete() {
        return !eventStream || failed || endMarkerSeen;
    }

    @Override
    public long usedTokens(long reserved) {
        if (failed) {
            return 0;
        }
        if (!eventStream && reportedTokens < 0) {
            readUsage(line.toByteArray());
        }
        if (reportedTokens >= 0) {
            return Math.min(reserved, reportedTokens);
        }
        return reserved;
    }

    private void processLine(String text) {
        if (!text.startsWith(DATA_FIELD)) {
            return;
        }
        String data = text.substring(DATA_FIELD.length()).trim();
        if (data.equals(END_MARKER)) {
            endMarkerSeen = true;
            return;
        }
        if (data.contains("\"usage\"")) {
            readUsage(data.getBytes(StandardCharsets.UTF_8));
        }
    }

    private void readUsage(byte[] json) {
        try {
            JsonNode total = MAPPER.readTree(json).path("usage").path("total_tokens");
            if (total.canConvertToLong() && total.asLong() >= 0) {
                reportedTokens = total.asLong();
            }
        } catch (IOException e) {
            reportedTokens = -1;
        }
    }
}
