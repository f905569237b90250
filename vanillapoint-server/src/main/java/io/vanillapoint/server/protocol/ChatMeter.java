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
final class ChatMeter implements UsageMeter {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_LINE_BYTES = 1 << 20;
    private static final String DATA = "data:";
    private static final String END = "[DONE]";

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private boolean stream;
    private boolean failed;
    private boolean ended;
    private long reportedTokens = -1;

    @Override
    public void head(int status, String contentType) {
        stream = contentType.startsWith("text/event-stream");
        failed = status >= 400;
    }

    @Override
    public void data(byte[] bytes) {
        for (byte next : bytes) {
            if (stream && next == '\n') {
                line(line.toString(StandardCharsets.UTF_8).trim());
                line.reset();
            } else if (line.size() < MAX_LINE_BYTES) {
                line.write(next);
            }
        }
    }

    @Override
    public boolean isWhole() {
        return !stream || failed || ended;
    }

    @Override
    public long usedTokens(long reserved) {
        if (failed) {
            return 0;
        }
        if (!stream && reportedTokens < 0) {
            readUsage(line.toByteArray());
        }
        if (reportedTokens >= 0) {
            return Math.min(reserved, reportedTokens);
        }
        return reserved;
    }

    private void line(String text) {
        if (!text.startsWith(DATA)) {
            return;
        }
        String data = text.substring(DATA.length()).trim();
        if (data.equals(END)) {
            ended = true;
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
