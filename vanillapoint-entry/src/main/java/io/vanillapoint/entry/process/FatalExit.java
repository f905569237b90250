package io.vanillapoint.entry.process;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.entry.log.AsyncLineWriter;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Ends the process after a fault from which it can't recover, so that the platform starts it again.
 *
 * <p>Invariant: the process ends even if the heap is exhausted, standard output is blocked or a
 * shutdown is already under way. Safe for use by several threads.
 */
public final class FatalExit {
    private final String vm;
    private final AsyncLineWriter writer;
    private final AtomicBoolean exiting = new AtomicBoolean();

    /**
     * Creates an exit that has not been taken.
     *
     * @param vm name of the VM, for the log
     * @param writer output of log lines
     */
    public FatalExit(String vm, AsyncLineWriter writer) {
        this.vm = vm;
        this.writer = writer;
    }

    /**
     * Writes one log line and ends the process without running shutdown hooks, which may need the
     * event loop.
     *
     * @param fault the fault
     * @param detail value of the event's only field, free of quotes and backslashes
     */
    public void exit(Fault fault, Object detail) {
        if (!exiting.compareAndSet(false, true)) {
            return;
        }
        try {
            writer.offer(line(fault.event, detail));
            writer.close();
        } finally {
            Runtime.getRuntime().halt(fault.exitCode);
        }
    }

    /** Formats the line by concatenation, since a JSON library needs more memory. */
    private String line(EventCode event, Object detail) {
        return "{\"at\":"
                + System.currentTimeMillis()
                + ",\"vm\":\""
                + vm
                + "\",\"event\":"
                + event.number()
                + ",\"name\":\""
                + event.title()
                + "\",\""
                + event.fields().get(0)
                + "\":\""
                + detail
                + "\"}\n";
    }

    /** Faults that end the process. */
    public enum Fault {
        /** An event loop has ended. */
        LOOP_ENDED(3, EventCode.LOOP_ENDED),
        /** The event loop completes no iteration. */
        LOOP_HANGS(4, EventCode.LOOP_HANGS);

        private final int exitCode;
        private final EventCode event;

        Fault(int exitCode, EventCode event) {
            this.exitCode = exitCode;
            this.event = event;
        }
    }
}
