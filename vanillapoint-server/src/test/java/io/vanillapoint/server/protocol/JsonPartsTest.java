package io.vanillapoint.server.protocol;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.sun.management.ThreadMXBean;
import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.model.GatewayConfig;
import io.vanillapoint.api.model.ModelDeclaration;
import io.vanillapoint.api.plugin.RequestView;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** JSON of callers and upstreams that is made of very many small parts. */
class JsonPartsTest {
    private static final int BODY_BYTES = 4_000_000;
    private static final int LINE_BYTES = 1_000_000;

    /** Its bytes, and what the limit on parts allows. */
    private static final long MAX_ALLOCATED_BYTES = 32_000_000;

    /** Guards against a body that takes more memory than the heap has. */
    @ParameterizedTest
    @ValueSource(strings = {"[],", "{},", "11,", "{\"a\":1},"})
    void bodyOfVeryManyPartsIsRefused(String part) {
        byte[] body = bytes("{\"model\":\"m\",\"messages\":[", part, BODY_BYTES, "0]}");
        long before = allocatedBytes();
        VanillapointException refusal = assertThrows(VanillapointException.class, () -> plan(body));
        assertThat(allocatedBytes() - before, is(lessThan(MAX_ALLOCATED_BYTES)));
        assertThat(refusal.code(), is(ErrorCode.BAD_REQUEST));
    }

    @ParameterizedTest
    @ValueSource(strings = {"[],", "{},", "11,", "{\"a\":1},"})
    void answerOfVeryManyPartsTellsNoUsage(String part) {
        ChatUsageMeter meter = new ChatUsageMeter();
        meter.onHead(200, "application/json");
        meter.onData(
                bytes("{\"usage\":{\"total_tokens\":7},\"x\":[", part, LINE_BYTES - 100, "0]}"));
        long before = allocatedBytes();
        assertThat(meter.usedTokens(50), is(50L));
        assertThat(allocatedBytes() - before, is(lessThan(MAX_ALLOCATED_BYTES)));
    }

    private static void plan(byte[] body) {
        GatewayConfig config =
                GatewayConfig.builder(1).model(new ModelDeclaration("m", 100)).build();
        new ChatProtocol().plan(new RequestView("POST", "/v1/chat/completions", "", body), config);
    }

    private static byte[] bytes(String start, String part, int size, String end) {
        return (start + part.repeat(size / part.length()) + end).getBytes(StandardCharsets.UTF_8);
    }

    private static long allocatedBytes() {
        return ((ThreadMXBean) ManagementFactory.getThreadMXBean())
                .getThreadAllocatedBytes(Thread.currentThread().getId());
    }
}
