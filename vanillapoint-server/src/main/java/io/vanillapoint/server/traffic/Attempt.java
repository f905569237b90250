package io.vanillapoint.server.traffic;

import io.vertx.core.Future;

/** One try to run a request somewhere. Confined to one event loop. */
interface Attempt {
    /**
     * How it ended.
     *
     * @return completed after the whole answer; failed with a {@link
     *     io.vanillapoint.api.error.VanillapointException} that tells what is known about the run
     */
    Future<Void> done();

    /** Stops it. What has been sent can't be taken back. */
    void cancel();
}
