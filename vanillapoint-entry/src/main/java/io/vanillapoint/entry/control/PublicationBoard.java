package io.vanillapoint.entry.control;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventSink;
import io.vanillapoint.api.finding.Findings;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.published.GatewayPublication;
import io.vanillapoint.core.published.PublishedFormat;
import io.vanillapoint.core.published.PublishedTable;
import io.vanillapoint.core.published.StoredDelta;
import io.vanillapoint.core.published.StoredItem;
import io.vanillapoint.core.published.UpstreamReplica;
import io.vanillapoint.core.upstream.UpstreamPool;
import io.vanillapoint.entry.port.StoreListing;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Published configuration, replicas and evacuations that are in force on this VM.
 *
 * <p>Invariant: the version of the configuration never decreases. A value that can't be parsed is
 * ignored, except that a replica whose entry can't be parsed gets no requests. Confined to one
 * thread.
 */
public final class PublicationBoard {
    private final PublishedTable table = new PublishedTable();
    private final PublishedFormat format;
    private final UpstreamPool pool;
    private final EventSink log;
    private final LongSupplier clock;
    private final Consumer<GatewayPublication> taken;
    private Optional<GatewayPublication> publication = Optional.empty();

    /**
     * Creates an empty state.
     *
     * @param format parser of published values
     * @param pool replicas to update
     * @param log records changes
     * @param clock monotonic time in milliseconds
     * @param taken called with each new version of the configuration
     */
    public PublicationBoard(
            PublishedFormat format,
            UpstreamPool pool,
            EventSink log,
            LongSupplier clock,
            Consumer<GatewayPublication> taken) {
        this.format = format;
        this.pool = pool;
        this.log = log;
        this.clock = clock;
        this.taken = taken;
    }

    /**
     * The configuration in force.
     *
     * @return the newest version, empty until the first has been read
     */
    public Optional<GatewayPublication> publication() {
        return publication;
    }

    /**
     * Revision of the store up to which all changes have been applied.
     *
     * @return revision, 0 if none has been applied
     */
    public long revision() {
        return table.revision();
    }

    /**
     * Changes that a VM at an older revision is missing.
     *
     * @param newerThan revision that the VM has reached
     * @return the changes
     */
    public StoredDelta since(long newerThan) {
        return table.since(newerThan);
    }

    /**
     * Applies changes.
     *
     * @param delta changes
     * @param source where the changes came from, the watch or a VM's name, for the log
     * @param storeWasAway true if entries of live replicas may have expired because the store was
     *     unavailable
     * @return number of values that changed
     */
    public int merge(StoredDelta delta, String source, boolean storeWasAway) {
        return apply(table.merge(delta), source, storeWasAway);
    }

    /**
     * Replaces all values by a full listing of the store.
     *
     * @param listing all values
     * @param storeWasAway true if entries of live replicas may have expired because the store was
     *     unavailable
     * @return number of values that changed
     */
    public int replace(StoreListing listing, boolean storeWasAway) {
        List<StoredItem> changed = table.replace(listing.items(), listing.startRevision());
        return apply(changed, "listing", storeWasAway);
    }

    private int apply(List<StoredItem> changed, String source, boolean storeWasAway) {
        changed.stream()
                .filter(item -> format.kind(item.key()) == PublishedFormat.Kind.CONFIGURATION)
                .forEach(item -> apart(item, () -> configure(item, source)));
        for (StoredItem item : changed) {
            switch (format.kind(item.key())) {
                case REPLICA -> apart(item, () -> replica(item, source, storeWasAway));
                case EVACUATION -> apart(item, () -> evacuate(item, source));
                default -> {}
            }
        }
        return changed.size();
    }

    /** Applies one value, so that an unexpected error in it does not stop the others. */
    private void apart(StoredItem item, Runnable taking) {
        try {
            taking.run();
        } catch (RuntimeException e) {
            log.record(EventCode.ITEM_REFUSED, item.key(), item.revision(), e.toString());
        }
    }

    private void configure(StoredItem item, String source) {
        if (item.removed()) {
            log.record(
                    EventCode.ITEM_REFUSED,
                    item.key(),
                    item.revision(),
                    "configuration was removed from the store; the last version stays in force");
            return;
        }
        Findings findings = new Findings();
        Optional<GatewayPublication> read = format.configuration(item, findings);
        refused(item, findings);
        if (read.isEmpty() || !newer(read.get())) {
            return;
        }
        publication = read;
        taken.accept(read.get());
        log.record(EventCode.PUBLICATION_TAKEN, read.get().version(), item.revision(), source);
    }

    private boolean newer(GatewayPublication read) {
        return publication.isEmpty() || read.version() > publication.get().version();
    }

    private void replica(StoredItem item, String source, boolean storeWasAway) {
        String id = format.name(item.key());
        long now = clock.getAsLong();
        if (item.removed()) {
            pool.remove(id, storeWasAway, now);
            changed(id, "", storeWasAway ? "REMOVED store was away" : "REMOVED", item, source);
            return;
        }
        Findings findings = new Findings();
        Optional<UpstreamReplica> read = format.replica(item, findings);
        refused(item, findings);
        if (read.isEmpty()) {
            pool.remove(id, false, now);
            return;
        }
        UpstreamReplica replica = read.get();
        pool.publish(replica, publication.flatMap(p -> p.service(replica.service())), now);
        String cold = replica.coldMillis() > 0 ? " cold " + replica.coldMillis() : "";
        changed(id, replica.service(), replica.state() + cold, item, source);
    }

    private void evacuate(StoredItem item, String source) {
        ZoneId zone = new ZoneId(format.name(item.key()));
        pool.evacuate(zone, !item.removed());
        log.record(EventCode.EVACUATION, zone, !item.removed(), item.revision(), source);
    }

    private void changed(String id, String service, String state, StoredItem item, String source) {
        log.record(EventCode.REPLICA_CHANGED, id, service, state, item.revision(), source);
    }

    private void refused(StoredItem item, Findings findings) {
        if (!findings.isEmpty()) {
            log.record(
                    EventCode.ITEM_REFUSED,
                    item.key(),
                    item.revision(),
                    findings.toString().strip());
        }
    }
}
