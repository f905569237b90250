package io.vanillapoint.entry.port;

import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.core.published.PublishedFormat;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;

/** Everything that an entry VM needs from a platform. Implementations are stateless. */
public interface EntryPlatform {
    /**
     * Headers of requests and answers.
     *
     * @return the format
     */
    RequestFormat requests();

    /**
     * Questions beside requests.
     *
     * @return the format
     */
    EntryFormat entry();

    /**
     * Published values.
     *
     * @return the format
     */
    PublishedFormat published();

    /**
     * Connects to the platform's store.
     *
     * @param vertx event loop to use
     * @param store address of the store
     * @param connections takes each connection that is opened, to hear of its failures
     * @return a client
     */
    PublishedSource source(Vertx vertx, Endpoint store, Handler<HttpConnection> connections);
}
