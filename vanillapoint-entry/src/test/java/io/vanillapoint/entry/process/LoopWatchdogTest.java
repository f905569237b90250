package io.vanillapoint.entry.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a process that stays alive and serves nothing. Runs it as a child process. */
class LoopWatchdogTest {
    private static final long WAIT_SECONDS = 15;
    private static final long EXIT_MILLIS = 1_000;
    private static final Pattern EVENT_TIME = Pattern.compile("\\{\"at\":(\\d+).*\"event\":2008.*");

    private Process process;
    private BufferedReader output;

    @AfterEach
    void end() throws Exception {
        process.destroyForcibly().waitFor();
    }

    @Test
    void errorThatEndsTheLoopEndsTheProcessWithinASecond() throws Exception {
        start(FaultyLoop.Fault.ERROR);
        assertThat(exitCode(), is(3));
        assertThat(noticedMillis(), contains(lessThan(EXIT_MILLIS)));
    }

    /** A SIGTERM runs the same hooks as the exit of this test. */
    @Test
    void errorDuringAShutdownThatDoesNotEndEndsTheProcess() throws Exception {
        start(FaultyLoop.Fault.ERROR_DURING_SHUTDOWN);
        assertThat(exitCode(), is(3));
        assertThat(noticedMillis(), contains(lessThan(EXIT_MILLIS)));
    }

    @Test
    void exhaustedHeapEndsTheProcess() throws Exception {
        start(FaultyLoop.Fault.HEAP);
        assertThat(exitCode(), is(3));
    }

    @Test
    void loopThatHangsEndsTheProcess() throws Exception {
        start(FaultyLoop.Fault.HANG);
        assertThat(exitCode(), is(4));
        assertThat(linesWith("\"event\":2009"), is(1L));
    }

    /** Guards against the end of all VMs of a machine that was suspended. */
    @Test
    void processThatWasFrozenAsAWholeGoesOn() throws Exception {
        start(FaultyLoop.Fault.NONE);
        signal("-STOP");
        TimeUnit.MILLISECONDS.sleep(3 * FaultyLoop.LIMIT_MILLIS);
        signal("-CONT");
        boolean ended = process.waitFor(2 * FaultyLoop.LIMIT_MILLIS, TimeUnit.MILLISECONDS);
        assertThat(ended, is(false));
    }

    /**
     * Time from the fault to each log line about it, in milliseconds, by the clock of the child:
     * how long this test waits for a child that has ended depends on the load of the machine.
     */
    private List<Long> noticedMillis() {
        List<String> lines = output.lines().toList();
        long faultAt =
                lines.stream()
                        .filter(line -> line.startsWith(FaultyLoop.FAULT_AT))
                        .mapToLong(
                                line ->
                                        Long.parseLong(
                                                line.substring(FaultyLoop.FAULT_AT.length())))
                        .findFirst()
                        .orElseThrow();
        return lines.stream()
                .map(EVENT_TIME::matcher)
                .filter(Matcher::matches)
                .map(line -> Long.parseLong(line.group(1)) - faultAt)
                .toList();
    }

    private void start(FaultyLoop.Fault fault) throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        process =
                new ProcessBuilder(
                                List.of(
                                        java,
                                        "-Xmx48m",
                                        "-XX:+UseSerialGC",
                                        "-XX:+ExitOnOutOfMemoryError",
                                        "-cp",
                                        System.getProperty("java.class.path"),
                                        FaultyLoop.class.getName(),
                                        fault.name()))
                        .redirectErrorStream(true)
                        .start();
        output = process.inputReader();
        String line = output.readLine();
        while (line != null && !line.equals(FaultyLoop.STARTED)) {
            line = output.readLine();
        }
        assertThat(line, is(FaultyLoop.STARTED));
    }

    private int exitCode() throws InterruptedException {
        assertThat("process ended", process.waitFor(WAIT_SECONDS, TimeUnit.SECONDS), is(true));
        return process.exitValue();
    }

    private long linesWith(String text) {
        return output.lines().filter(line -> line.contains(text)).count();
    }

    private void signal(String name) throws Exception {
        new ProcessBuilder("kill", name, Long.toString(process.pid())).start().waitFor();
    }
}
