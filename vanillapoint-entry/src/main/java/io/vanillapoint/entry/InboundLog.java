package io.vanillapoint.entry;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.entry.traffic.EntryContext;
import io.vanillapoint.http.InboundListener;
import io.vanillapoint.http.RequestRefusal;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Words the refusals of requests that are not read, and logs and counts them. Confined to one event
 * loop.
 */
final class InboundLog implements InboundListener {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Shortest time after which a refused request may be sent again. */
    private static final long RETRY_AFTER_MILLIS = 500;

    /** Spreads callers that were refused together. */
    private static final long RETRY_JITTER_MILLIS = 500;

    private final EntryContext context;

    InboundLog(EntryContext context) {
        this.context = context;
    }

    @Override
    public String body(RequestRefusal refusal) {
        return "{\"error\":\"" + refusal.reason() + "\"}";
    }

    @Override
    public String retryAfter() {
        long jitter = ThreadLocalRandom.current().nextLong(RETRY_JITTER_MILLIS);
        return String.format(
                Locale.ROOT, "%.3f", (RETRY_AFTER_MILLIS + jitter) / MILLIS_PER_SECOND);
    }

    @Override
    public void refused(String port, RequestRefusal refusal) {
        context.log().record(EventCode.UNREAD_REFUSED, port, refusal.status(), refusal.reason());
        context.metrics().count("unread_refused." + port + "." + refusal.reason());
    }

    @Override
    public void closed(String port, String reason) {
        context.metrics().count("connections_closed." + port + "." + reason);
    }
}
