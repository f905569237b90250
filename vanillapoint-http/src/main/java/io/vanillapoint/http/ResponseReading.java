package io.vanillapoint.http;

import io.netty.channel.ChannelConfig;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Pauses and resumes the reading of a response at its connection. Stateless.
 *
 * <p>The pause of the HTTP library keeps what was read before in a queue, and discards it if the
 * server closes the connection meanwhile. After this one, what has been read still arrives, one
 * read at most; the close is noticed once reading is resumed.
 */
public final class ResponseReading {
    private ResponseReading() {}

    /**
     * Stops reading. Called on the connection's event loop.
     *
     * @param request request whose response is read, on a connection of its own at that time
     */
    public static void pause(HttpClientRequest request) {
        connection(request).setAutoRead(false);
    }

    /**
     * Goes on reading, also after the response has ended, since the connection may be used again.
     * Called on the connection's event loop.
     *
     * @param request request whose response was paused
     */
    public static void resume(HttpClientRequest request) {
        connection(request).setAutoRead(true);
    }

    private static ChannelConfig connection(HttpClientRequest request) {
        return ((ConnectionBase) request.connection()).channel().config();
    }
}
