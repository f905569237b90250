package io.vanillapoint.entry.log;

/** Takes batches of log lines. Implementations never block the caller. */
public interface LineWriter {
    /**
     * Takes a batch.
     *
     * @param lines lines, each ended by a line feed
     * @return false if there was no room and the batch was left out
     */
    boolean offer(String lines);

    /**
     * Warnings of libraries for which there was no room.
     *
     * @return number since the start
     */
    default long leftOut() {
        return 0;
    }
}
