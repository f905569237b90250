package io.vanillapoint.server.traffic;

import io.vertx.core.Future;

/** One attempt to run a request on an upstream or another VM. Confined to one event loop. */
interface Attempt {
    /**
     * Outcome of the attempt.
     *
     * @return completed after the complete response; failed with a {@link
     *     io.vanillapoint.api.error.VanillapointException} that tells whether the request has run
     */
    Future<Void> completion();

    /** Cancels the attempt. A request that was already sent may still run. */
    void cancel();
}
