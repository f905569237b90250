package io.vanillapoint.server.control;

import io.vertx.core.AsyncResult;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.function.Supplier;

/** Moves calls between the control thread and the traffic threads. Stateless. */
public final class Threads {
    private Threads() {}

    /**
     * Runs a call on another thread and brings its result back to the present one.
     *
     * @param target context to run on
     * @param call what to run
     * @param <T> type of the result
     * @return completed on the context of the caller
     */
    public static <T> Future<T> call(Context target, Supplier<Future<T>> call) {
        Context origin = Vertx.currentContext();
        Promise<T> promise = Promise.promise();
        target.runOnContext(
                nothing -> invoke(call).onComplete(done -> finish(origin, promise, done)));
        return promise.future();
    }

    private static <T> Future<T> invoke(Supplier<Future<T>> call) {
        try {
            return call.get();
        } catch (RuntimeException e) {
            return Future.failedFuture(e);
        }
    }

    private static <T> void finish(Context origin, Promise<T> promise, AsyncResult<T> done) {
        Runnable complete =
                () -> {
                    if (done.succeeded()) {
                        promise.complete(done.result());
                    } else {
                        promise.fail(done.cause());
                    }
                };
        if (origin == null) {
            complete.run();
        } else {
            origin.runOnContext(nothing -> complete.run());
        }
    }
}
