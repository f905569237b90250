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
public final class Contexts {
    private Contexts() {}

    /**
     * Runs an asynchronous call on another context and returns its result on the caller's context.
     *
     * @param target context to run on
     * @param task the call
     * @param <T> type of the result
     * @return completed on the caller's context, or on the target's if the caller has none
     */
    public static <T> Future<T> callOn(Context target, Supplier<Future<T>> task) {
        Context origin = Vertx.currentContext();
        Promise<T> promise = Promise.promise();
        target.runOnContext(
                ignored ->
                        invoke(task).onComplete(outcome -> completeOn(origin, promise, outcome)));
        return promise.future();
    }

    private static <T> Future<T> invoke(Supplier<Future<T>> task) {
        try {
            return task.get();
        } catch (Throwable e) {
            return Future.failedFuture(e);
        }
    }

    private static <T> void completeOn(Context origin, Promise<T> promise, AsyncResult<T> outcome) {
        Runnable complete =
                () -> {
                    if (outcome.succeeded()) {
                        promise.complete(outcome.result());
                    } else {
                        promise.fail(outcome.cause());
                    }
                };
        if (origin == null) {
            complete.run();
        } else {
            origin.runOnContext(ignored -> complete.run());
        }
    }
}
