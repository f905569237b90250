package io.vanillapoint.entry.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** The thread that writes the log. */
class AsyncLineWriterTest {
    private static final long WAIT_SECONDS = 10;

    static Stream<Runnable> failingTasks() {
        return Stream.of(
                () -> {
                    throw new IllegalStateException("unexpected");
                },
                () -> {
                    throw new OutOfMemoryError("heap");
                },
                () -> {
                    throw new StackOverflowError();
                });
    }

    @ParameterizedTest
    @MethodSource("failingTasks")
    void unexpectedErrorDoesNotEndTheLogThread(Runnable task) throws InterruptedException {
        AsyncLineWriter writer = new AsyncLineWriter();
        CountDownLatch later = new CountDownLatch(1);
        writer.execute(task);
        writer.execute(later::countDown);
        assertThat(later.await(WAIT_SECONDS, TimeUnit.SECONDS), is(true));
        writer.close();
    }
}
