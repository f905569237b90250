package io.vanillapoint.server.control;

import io.vertx.core.AsyncResult;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.function.Supplier;

/**
 * Runs calls across Vert.x contexts, such as from traffic threads on the control thread. Stateless.
 */
public final class Threads {
    private Threads() {}

    /**
     * Runs an asynchronous call on another context and returns its result on the caller's context.
     *
     * @param target context to run on
     * @param call the call
     * @param <T> type of the result
     * @return completed on the caller's context, or on the target's if the caller has none
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
