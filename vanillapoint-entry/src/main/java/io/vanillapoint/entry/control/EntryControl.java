package io.vanillapoint.entry.control;

import io.vanillapoint.core.fleet.FleetReport;
import io.vanillapoint.core.fleet.FleetTiming;
import io.vanillapoint.core.fleet.StoreReaders;
import io.vanillapoint.entry.port.PublishedSource;
import io.vanillapoint.entry.traffic.EntryContext;
import io.vanillapoint.wire.FleetCodec;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.function.Consumer;

/**
 * Membership and the copy of the store, as one part that is started together. Confined to one event
 * loop.
 */
public final class EntryControl {
    private final PublicationBoard board;
    private final StoreSync sync;
    private final StoreCopy copy;
    private final FleetLink link;
    private final FleetCodec codec = new FleetCodec();

    /**
     * Creates the part.
     *
     * @param context what requests share
     * @param board what is published
     * @param source the platform's store
     * @param reports makes heartbeats
     * @param heard takes heartbeats of other VMs
     */
    public EntryControl(
            EntryContext context,
            PublicationBoard board,
            PublishedSource source,
            ReportSource reports,
            Consumer<FleetReport> heard) {
        this.board = board;
        sync =
                new StoreSync(
                        context.vertx(),
                        source,
                        board,
                        context.log(),
                        context.clock(),
                        () -> StoreReaders.reads(context.fleet(), context.clock().getAsLong()));
        copy =
                new StoreCopy(
                        context.fleet(),
                        board,
                        sync,
                        context.vms(),
                        context.log(),
                        context.clock(),
                        context.peerPort());
        link =
                new FleetLink(
                        context.vertx(),
                        context.fleet(),
                        FleetTiming.DEFAULT,
                        context.log(),
                        context.clock(),
                        context.peerPort(),
                        reports,
                        report -> {
                            heard.accept(report);
                            if (report.publishedRevision() > board.revision()) {
                                copy.look();
                            }
                        },
                        copy::look);
    }

    /**
     * Path on the port for other VMs at which they copy what this one knows of the store.
     *
     * @return path
     */
    public static String publishedPath() {
        return StoreCopy.PATH;
    }

    /**
     * Starts heartbeats and reading of the store.
     *
     * @param seeds VMs to ask first
     * @return completed when heartbeats can be received
     */
    public Future<Void> start(List<String> seeds) {
        sync.start();
        return link.start(seeds);
    }

    /**
     * Sets the VMs to ask first.
     *
     * @param seeds IP addresses
     */
    public void seeds(List<String> seeds) {
        link.seeds(seeds);
    }

    /**
     * Time for which the platform's store has not answered.
     *
     * @return milliseconds, 0 while it answers
     */
    public long storeLostMillis() {
        return Math.max(0, sync.lostMillis());
    }

    /**
     * Tells whether the platform's store has answered this VM itself lately.
     *
     * @return false if it is away or if other VMs read it for this one
     */
    public boolean readsStore() {
        return sync.answered();
    }

    /** Tells all VMs at once that this one's state has changed. */
    public void announce() {
        link.sendAll();
    }

    /**
     * Answers a VM that knows less of the store.
     *
     * @param after revision that it has reached, as text
     * @return changes since
     */
    public Buffer published(String after) {
        boolean number = after != null && after.matches("\\d{1,18}");
        return Buffer.buffer(codec.encode(board.since(number ? Long.parseLong(after) : 0)));
    }
}
