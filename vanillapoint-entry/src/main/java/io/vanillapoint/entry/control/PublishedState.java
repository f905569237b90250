package io.vanillapoint.entry.control;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventSink;
import io.vanillapoint.api.finding.Findings;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.published.GatewayPublication;
import io.vanillapoint.core.published.PublishedFormat;
import io.vanillapoint.core.published.PublishedTable;
import io.vanillapoint.core.published.StoreChanges;
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
public final class PublishedState {
    private final PublishedTable table = new PublishedTable();
    private final PublishedFormat format;
    private final UpstreamPool pool;
    private final EventSink log;
    private final LongSupplier clock;
    private final Consumer<GatewayPublication> publicationListener;
    private Optional<GatewayPublication> publication = Optional.empty();

    /**
     * Creates an empty state.
     *
     * @param format parser of published values
     * @param pool replicas to update
     * @param log records changes
     * @param clock monotonic time in milliseconds
     * @param publicationListener called with each new version of the configuration
     */
    public PublishedState(
            PublishedFormat format,
            UpstreamPool pool,
            EventSink log,
            LongSupplier clock,
            Consumer<GatewayPublication> publicationListener) {
        this.format = format;
        this.pool = pool;
        this.log = log;
        this.clock = clock;
        this.publicationListener = publicationListener;
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
    public StoreChanges since(long newerThan) {
        return table.since(newerThan);
    }

    /**
     * Applies changes.
     *
     * @param changes changes to the store
     * @param source where the changes came from, the watch or a VM's name, for the log
     * @param storeWasUnavailable true if entries of live replicas may have expired because the
     *     store was unavailable
     * @return number of values that changed
     */
    public int merge(StoreChanges changes, String source, boolean storeWasUnavailable) {
        return apply(table.merge(changes), source, storeWasUnavailable);
    }

    /**
     * Replaces all values by a full listing of the store.
     *
     * @param listing all values
     * @param storeWasUnavailable true if entries of live replicas may have expired because the
     *     store was unavailable
     * @return number of values that changed
     */
    public int replace(StoreListing listing, boolean storeWasUnavailable) {
        List<StoredItem> changed = table.replace(listing.items(), listing.startRevision());
        return apply(changed, "listing", storeWasUnavailable);
    }

    private int apply(List<StoredItem> changed, String source, boolean storeWasUnavailable) {
        changed.stream()
                .filter(item -> format.kind(item.key()) == PublishedFormat.Kind.CONFIGURATION)
                .forEach(item -> applyIsolated(item, () -> applyConfiguration(item, source)));
        for (StoredItem item : changed) {
            switch (format.kind(item.key())) {
                case REPLICA ->
                        applyIsolated(item, () -> applyReplica(item, source, storeWasUnavailable));
                case EVACUATION -> applyIsolated(item, () -> applyEvacuation(item, source));
                default -> {}
            }
        }
        return changed.size();
    }

    /** Applies one value, so that an unexpected error in it does not stop the others. */
    private void applyIsolated(StoredItem item, Runnable update) {
        try {
            update.run();
        } catch (RuntimeException e) {
            log.record(EventCode.ITEM_REFUSED, item.key(), item.revision(), e.toString());
        }
    }

    private void applyConfiguration(StoredItem item, String source) {
        if (item.removed()) {
            log.record(
                    EventCode.ITEM_REFUSED,
                    item.key(),
                    item.revision(),
                    "configuration was removed from the store; the last version stays in force");
            return;
        }
        Findings findings = new Findings();
        Optional<GatewayPublication> parsed = format.configuration(item, findings);
        recordFindings(item, findings);
        if (parsed.isEmpty() || !isNewer(parsed.get())) {
            return;
        }
        publication = parsed;
        publicationListener.accept(parsed.get());
        log.record(EventCode.PUBLICATION_TAKEN, parsed.get().version(), item.revision(), source);
    }

    private boolean isNewer(GatewayPublication parsed) {
        return publication.isEmpty() || parsed.version() > publication.get().version();
    }

    private void applyReplica(StoredItem item, String source, boolean storeWasUnavailable) {
        String id = format.name(item.key());
        long now = clock.getAsLong();
        if (item.removed()) {
            pool.remove(id, storeWasUnavailable, now);
            recordReplicaChange(
                    id,
                    "",
                    storeWasUnavailable ? "REMOVED store was away" : "REMOVED",
                    item,
                    source);
            return;
        }
        Findings findings = new Findings();
        Optional<UpstreamReplica> parsed = format.replica(item, findings);
        recordFindings(item, findings);
        if (parsed.isEmpty()) {
            pool.remove(id, false, now);
            return;
        }
        UpstreamReplica replica = parsed.get();
        pool.publish(replica, publication.flatMap(p -> p.service(replica.service())), now);
        String coldSuffix = replica.coldMillis() > 0 ? " cold " + replica.coldMillis() : "";
        recordReplicaChange(id, replica.service(), replica.state() + coldSuffix, item, source);
    }

    private void applyEvacuation(StoredItem item, String source) {
        ZoneId zone = new ZoneId(format.name(item.key()));
        pool.evacuate(zone, !item.removed());
        log.record(EventCode.EVACUATION, zone, !item.removed(), item.revision(), source);
    }

    private void recordReplicaChange(
            String id, String service, String state, StoredItem item, String source) {
        log.record(EventCode.REPLICA_CHANGED, id, service, state, item.revision(), source);
    }

    private void recordFindings(StoredItem item, Findings findings) {
        if (!findings.isEmpty()) {
            log.record(
                    EventCode.ITEM_REFUSED,
                    item.key(),
                    item.revision(),
                    findings.toString().strip());
        }
    }
}
