package io.vanillapoint.entry.port;

import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.core.published.PublishedFormat;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;

/** Formats and store access of one platform. Implementations are stateless. */
public interface EntryPlatform {
    /**
     * Format of the headers of requests and responses.
     *
     * @return the format
     */
    RequestFormat requests();

    /**
     * Format of readiness and directory queries.
     *
     * @return the format
     */
    EntryFormat entry();

    /**
     * Format of the call with which replicas tell their state.
     *
     * @return the format
     */
    ReplicaStatusFormat replicaStatus();

    /**
     * Format of published values.
     *
     * @return the format
     */
    PublishedFormat published();

    /**
     * Creates a client of the platform's store.
     *
     * @param vertx event loop to use
     * @param store address of the store
     * @param connections called with each new connection, to observe its failures
     * @return a client
     */
    PublishedSource source(Vertx vertx, Endpoint store, Handler<HttpConnection> connections);
}
