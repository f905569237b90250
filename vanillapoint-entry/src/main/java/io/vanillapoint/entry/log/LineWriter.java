package io.vanillapoint.entry.log;

/** Takes batches of log lines. Implementations never block the caller. */
public interface LineWriter {
    /**
     * Queues a batch.
     *
     * @param lines lines, each terminated by a line feed
     * @return false if the queue was full and the batch was dropped
     */
    boolean offer(String lines);

    /**
     * Number of warnings of libraries that were dropped because the queue was full.
     *
     * @return number since start-up
     */
    default long droppedWarnings() {
        return 0;
    }
}
