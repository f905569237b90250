/** Threads of the stand-ins; an exception ends a connection and nothing else. */
final class Threads {
    private Threads() {}

    interface Work {
        void run() throws Exception;
    }

    static Thread start(String name, Work work) {
        Thread thread =
                new Thread(
                        null,
                        () -> {
                            try {
                                work.run();
                            } catch (Exception e) {
                                // The other side has left.
                            }
                        },
                        name,
                        256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
