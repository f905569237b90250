package io.vanillapoint.server.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.server.testing.Await;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Calls across contexts whose work fails. */
class ContextsTest {
    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void close() {
        Await.result(vertx.close());
    }

    @Test
    void callThatMeetsAnErrorFails() throws Exception {
        CompletableFuture<Throwable> outcome = new CompletableFuture<>();
        Future<Object> call =
                Contexts.callOn(
                        vertx.getOrCreateContext(),
                        () -> {
                            throw new StackOverflowError();
                        });
        call.onComplete(done -> outcome.complete(done.cause()));
        Throwable cause = outcome.get(5, TimeUnit.SECONDS);
        assertThat(cause, is(instanceOf(StackOverflowError.class)));
    }
}
