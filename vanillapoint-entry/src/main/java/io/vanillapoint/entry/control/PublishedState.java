package io.vanillapoint.entry.control;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventSink;
import io.vanillapoint.api.finding.Findings;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.published.CopyLimits;
import io.vanillapoint.core.published.GatewayPublication;
import io.vanillapoint.core.published.PublishedFormat;
import io.vanillapoint.core.published.PublishedTable;
import io.vanillapoint.core.published.ReplicaState;
import io.vanillapoint.core.published.StoreChanges;
import io.vanillapoint.core.published.StoreListing;
import io.vanillapoint.core.published.StorePosition;
import io.vanillapoint.core.published.StoredItem;
import io.vanillapoint.core.published.UpstreamReplica;
import io.vanillapoint.core.upstream.ReplicaTracker;
import io.vanillapoint.core.upstream.UpstreamPool;
import io.vanillapoint.entry.log.UnexpectedErrors;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Published configuration, replicas and evacuations that are in force on this VM.
 *
 * <p>Invariant: the version of the configuration never decreases. A value that can't be parsed is
 * ignored, except that a replica whose entry can't be parsed gets no requests, and neither does one
 * of a service that the configuration does not name, until it does. A value that can't be applied
 * because of an unexpected error does not affect others; it is applied again after a pause that
 * grows, until it is applied or replaced. Confined to one thread.
 */
public final class PublishedState {
    /**
     * Time for which values of an older copy are held back. What is alive or was ordered has been
     * written again by then, and entries of replicas that are gone have expired.
     */
    private static final long HOLD_BACK_MILLIS = 10_000;

    /** A store that counts a later era has returned from a copy at least once. */
    private static final long FIRST_ERA = 1;

    /**
     * Time for which a VM that knows no configuration awaits the word of another VM before it takes
     * the store's, after the store has returned from a copy.
     */
    private static final long OTHERS_MILLIS = 700;

    /** Longest pause before a value that can't be applied is tried again. */
    private static final long MAX_PAUSE_MILLIS = 60_000;

    /** The same for configurations and evacuations, which are due within seconds. */
    private static final long MAX_ORDER_PAUSE_MILLIS = 1_000;

    /** Distinguishes the configuration that another VM has in force from that of the store. */
    private static final String IN_FORCE_ELSEWHERE = "in force elsewhere: ";

    private final CopyLimits limits = CopyLimits.ofHeap(Runtime.getRuntime().maxMemory());
    private final PublishedTable table = new PublishedTable(limits);
    private final PublishedFormat format;
    private final UpstreamPool pool;
    private final EventSink log;
    private final UnexpectedErrors errors;
    private final LongSupplier clock;
    private final Consumer<GatewayPublication> publicationListener;
    private final ItemUse use;
    private final Map<String, StoredItem> heldBack = new HashMap<>();

    /** Values to apply, by key. Empty between two calls unless applying one failed. */
    private final Map<String, PendingItem> pending = new LinkedHashMap<>();

    /** True if a merge did not end, so that the table may hold values that are not applied. */
    private boolean mergeIncomplete;

    /** True until the listener has taken the configuration in force. */
    private boolean listenerPending;

    private Optional<GatewayPublication> publication = Optional.empty();
    private Optional<StoredItem> itemInForce = Optional.empty();
    private long itemsDropped;
    private boolean listingNeeded;
    private Optional<StoredItem> awaitingOthers = Optional.empty();
    private long awaitingSinceMillis;
    private boolean othersAnswered;
    private long heldBackSinceMillis;
    private boolean eraChanged;

    /**
     * Creates an empty state.
     *
     * @param format parser of published values
     * @param pool replicas to update
     * @param log records changes
     * @param errors records unexpected errors
     * @param clock monotonic time in milliseconds
     * @param publicationListener called with each new version of the configuration
     */
    public PublishedState(
            PublishedFormat format,
            UpstreamPool pool,
            EventSink log,
            UnexpectedErrors errors,
            LongSupplier clock,
            Consumer<GatewayPublication> publicationListener) {
        this.format = format;
        this.pool = pool;
        this.log = log;
        this.errors = errors;
        this.clock = clock;
        this.publicationListener = publicationListener;
        use = new ItemUse(format, pool);
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
     * Position of the store up to which all changes have been applied.
     *
     * @return position, {@link StorePosition#START} if none has been applied
     */
    public StorePosition position() {
        return table.position();
    }

    /**
     * Era to assume for a VM that does not tell its own.
     *
     * @return the era of this VM; none if it has changed, so that the VM gets all values
     */
    public long eraOfEarlierBuilds() {
        return eraChanged ? StorePosition.NO_ERA : table.position().era();
    }

    /**
     * Changes that a VM at an older position is missing.
     *
     * @param newerThan position that the VM has reached
     * @return the changes
     */
    public StoreChanges since(StorePosition newerThan) {
        return table.since(newerThan);
    }

    /**
     * Number of items of the copy of the store.
     *
     * @return number, removed keys included
     */
    public int items() {
        return table.size();
    }

    /**
     * Size of the copy of the store.
     *
     * @return estimate in bytes
     */
    public long bytes() {
        return table.bytes();
    }

    /**
     * Number of items that were dropped since the start because the copy of the store was full.
     *
     * @return number, removed keys included
     */
    public long itemsDropped() {
        return itemsDropped;
    }

    /**
     * Tells whether entries may be missing that a new configuration needs. Each such need is told
     * once.
     *
     * @return true if the store has to be listed
     */
    boolean takeListingNeeded() {
        boolean needed = listingNeeded;
        listingNeeded = false;
        return needed;
    }

    /**
     * Drops what the copy of the store would have no room for from a listing.
     *
     * @param listing the listing
     * @param page items of the page that was added last
     */
    void trim(StoreListing listing, List<StoredItem> page) {
        errors.contain("reading the configuration", () -> use.expect(page));
        listing.trim(limits, use::importance);
    }

    /**
     * The configuration in force, which may be newer than the store's after its return from a copy.
     *
     * @param newerThan version that the other VM has in force
     * @return the configuration, without a position; no items if it is not newer
     */
    public StoreChanges configurationInForce(long newerThan) {
        boolean newer = publication.filter(known -> known.version() > newerThan).isPresent();
        return StoreChanges.changes(
                StorePosition.START, newer ? itemInForce.stream().toList() : List.of());
    }

    /**
     * Applies the configuration that another VM has in force, if it is newer.
     *
     * @param answer the other VM's configuration, no items if this VM's is as new
     * @param source name of the other VM, for the log
     */
    public void mergeConfigurationInForce(StoreChanges answer, String source) {
        othersAnswered = true;
        answer.items().stream()
                .filter(item -> format.kind(item.key()) == PublishedFormat.Kind.CONFIGURATION)
                .forEach(
                        item ->
                                pending.put(
                                        IN_FORCE_ELSEWHERE + item.key(),
                                        new PendingItem(item, source, false)));
        applyAwaiting();
        applyPending();
    }

    /**
     * Applies changes. If they are the first of a later era, the store has returned from an older
     * copy: values of the copy that contradict what this VM knew are held back.
     *
     * @param changes changes to the store
     * @param source where the changes came from, the watch, a listing or a VM's name, for the log
     * @param storeWasUnavailable true if entries of live replicas may have expired because the
     *     store was unavailable
     * @return number of values that changed
     */
    public int merge(StoreChanges changes, String source, boolean storeWasUnavailable) {
        boolean previousIncomplete = mergeIncomplete;
        mergeIncomplete = true;
        int applied = mergeIntoTable(changes, source, storeWasUnavailable);
        if (previousIncomplete) {
            List<StoredItem> known = new ArrayList<>(table.items());
            known.removeIf(item -> heldBack.containsKey(item.key()));
            apply(known, source, storeWasUnavailable);
        }
        mergeIncomplete = false;
        return applied;
    }

    /**
     * Applies a listing of the configuration and the evacuations. The position stays, since changes
     * to replicas may be missing. A listing of another era than the known one is ignored.
     *
     * @param listing the configuration and all evacuations that exist
     * @param source where the listing came from, for the log
     */
    public void mergeOrders(StoreChanges listing, String source) {
        List<StoredItem> changed = table.mergePart(listing, this::isOrder);
        changed.forEach(item -> heldBack.remove(item.key()));
        apply(trim(changed), source, false);
    }

    /** Drops what the copy of the store has no room for, and returns the changes that are left. */
    private List<StoredItem> trim(List<StoredItem> changed) {
        if (!table.exceedsLimits()) {
            return changed;
        }
        errors.contain("reading the configuration", () -> use.expect(changed));
        List<StoredItem> dropped = table.trim(use::importance);
        itemsDropped += dropped.size();
        log.record(EventCode.STORE_COPY_FULL, dropped.size(), table.size(), table.bytes());
        for (StoredItem item : dropped) {
            heldBack.remove(item.key());
            pending.remove(item.key());
            if (!item.removed()) {
                withdrawReplica(item);
            }
        }
        return changed.stream().filter(item -> table.find(item.key()) == item).toList();
    }

    private boolean isOrder(String key) {
        return switch (format.kind(key)) {
            case CONFIGURATION, EVACUATION -> true;
            default -> false;
        };
    }

    private int mergeIntoTable(StoreChanges changes, String source, boolean storeWasUnavailable) {
        StorePosition before = table.position();
        boolean restored = table.precedesEraOf(changes) && changes.complete();
        if (!restored || before.equals(StorePosition.START)) {
            List<StoredItem> changed = table.merge(changes);
            changed.forEach(item -> heldBack.remove(item.key()));
            return apply(trim(changed), source, storeWasUnavailable);
        }
        Set<String> removedBefore = new HashSet<>();
        for (StoredItem item : changes.items()) {
            StoredItem known = table.find(item.key());
            if (known != null && known.removed()) {
                removedBefore.add(item.key());
            }
        }
        List<StoredItem> adopted = new ArrayList<>();
        heldBack.clear();
        for (StoredItem item : trim(table.merge(changes))) {
            if (contradictsKnowledge(item, removedBefore)) {
                heldBack.put(item.key(), item);
                pending.remove(item.key());
            } else {
                adopted.add(item);
            }
        }
        heldBackSinceMillis = clock.getAsLong();
        eraChanged |= before.era() != StorePosition.NO_ERA;
        log.record(
                EventCode.STORE_ERA,
                table.position().era(),
                table.position().revision(),
                before.era(),
                before.revision(),
                source,
                heldBack.size());
        return apply(adopted, source, true);
    }

    /**
     * Applies values of a copy that were held back and not written again in time, the first
     * configuration if no other VM has answered, and values that could not be applied before.
     */
    public void applyHeldBack() {
        if (clock.getAsLong() - awaitingSinceMillis >= OTHERS_MILLIS) {
            applyAwaiting();
        }
        if (!heldBack.isEmpty() && clock.getAsLong() - heldBackSinceMillis >= HOLD_BACK_MILLIS) {
            List<StoredItem> items = List.copyOf(heldBack.values());
            heldBack.clear();
            apply(items, "copy", true);
        }
        applyPending();
    }

    /**
     * Tells whether a value of an older copy shows a state that has been left since: a replica that
     * is gone, leaves, has restarted or become cold, an evacuation that was ended, or none where
     * one was ordered.
     */
    private boolean contradictsKnowledge(StoredItem item, Set<String> removedBefore) {
        boolean removed = removedBefore.contains(item.key());
        return switch (format.kind(item.key())) {
            case EVACUATION -> item.removed() || removed;
            case REPLICA -> !item.removed() && (removed || showsFormerState(item));
            default -> false;
        };
    }

    private boolean showsFormerState(StoredItem item) {
        Optional<ReplicaTracker> known = pool.replica(format.name(item.key()));
        Optional<UpstreamReplica> entry = format.replica(item, new Findings());
        if (known.isEmpty() || entry.isEmpty()) {
            return false;
        }
        long knownStart = known.get().info().startedAtMillis();
        if (entry.get().startedAtMillis() != knownStart) {
            return entry.get().startedAtMillis() < knownStart;
        }
        boolean leaves = known.get().draining() && entry.get().state() == ReplicaState.READY;
        return leaves
                || known.get().coldRemainingMillis(clock.getAsLong()) > entry.get().coldMillis();
    }

    private int apply(List<StoredItem> changed, String source, boolean storeWasUnavailable) {
        for (StoredItem item : changed) {
            pending.put(item.key(), new PendingItem(item, source, storeWasUnavailable));
        }
        applyPending();
        return changed.size();
    }

    /** Applies configurations before replicas, whose services they define. */
    private void applyPending() {
        if (!pending.isEmpty()) {
            new LinkedHashMap<>(pending).forEach((id, item) -> applyIfDue(id, item, true));
            new LinkedHashMap<>(pending).forEach((id, item) -> applyIfDue(id, item, false));
        }
    }

    /** Applies one value, so that an unexpected error in it does not stop the others. */
    private void applyIfDue(String id, PendingItem pendingItem, boolean configurations) {
        if (!pendingItem.due(clock.getAsLong())) {
            return;
        }
        StoredItem item = pendingItem.item();
        PublishedFormat.Kind kind = PublishedFormat.Kind.OTHER;
        try {
            kind = format.kind(item.key());
            if ((kind == PublishedFormat.Kind.CONFIGURATION) != configurations) {
                return;
            }
            apply(kind, pendingItem);
            pending.remove(id, pendingItem);
        } catch (Throwable e) {
            boolean order =
                    kind == PublishedFormat.Kind.CONFIGURATION
                            || kind == PublishedFormat.Kind.EVACUATION;
            pendingItem.recordFailure(
                    order ? MAX_ORDER_PAUSE_MILLIS : MAX_PAUSE_MILLIS, clock.getAsLong());
            errors.record("applying " + item.key() + " of revision " + item.revision(), e);
            if (pendingItem.failsRepeatedly()) {
                errors.contain("withdrawing " + item.key(), () -> withdrawReplica(item));
            }
        }
    }

    private void apply(PublishedFormat.Kind kind, PendingItem pendingItem) {
        StoredItem item = pendingItem.item();
        switch (kind) {
            case CONFIGURATION -> applyConfiguration(item, pendingItem.source());
            case REPLICA ->
                    applyReplica(item, pendingItem.source(), pendingItem.storeWasUnavailable());
            case EVACUATION -> applyEvacuation(item, pendingItem.source());
            default -> {}
        }
    }

    /** An entry that can't be applied names no replica to use. */
    private void withdrawReplica(StoredItem item) {
        if (format.kind(item.key()) == PublishedFormat.Kind.REPLICA) {
            pool.remove(format.name(item.key()), false, clock.getAsLong());
        }
    }

    private void applyAwaiting() {
        Optional<StoredItem> awaiting = awaitingOthers;
        awaitingOthers = Optional.empty();
        othersAnswered |= awaiting.isPresent();
        awaiting.ifPresent(
                item -> pending.putIfAbsent(item.key(), new PendingItem(item, "store", false)));
    }

    private boolean awaitsOthers() {
        return publication.isEmpty() && !othersAnswered && table.position().era() > FIRST_ERA;
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
        if (parsed.isEmpty()) {
            return;
        }
        if (awaitsOthers()) {
            if (awaitingOthers.isEmpty()) {
                awaitingSinceMillis = clock.getAsLong();
            }
            awaitingOthers = Optional.of(item);
            return;
        }
        if (!isNewer(parsed.get())) {
            log.record(
                    EventCode.PUBLICATION_IGNORED,
                    parsed.get().version(),
                    publication.map(GatewayPublication::version).orElse(0L),
                    item.revision(),
                    source);
            return;
        }
        Set<String> servicesBefore = use.configuredServices();
        publication = parsed;
        use.configure(parsed.get());
        itemInForce = Optional.of(item);
        if (!servicesBefore.containsAll(use.configuredServices())) {
            applyEntriesNotInUse(source);
            listingNeeded |= table.mayLackUnusedItems();
        }
        listenerPending = true;
        publicationListener.accept(parsed.get());
        listenerPending = false;
        log.record(EventCode.PUBLICATION_TAKEN, parsed.get().version(), item.revision(), source);
    }

    /** Entries of services that were not named before name replicas to use from now on. */
    private void applyEntriesNotInUse(String source) {
        for (StoredItem item : table.items()) {
            boolean entry =
                    !item.removed() && format.kind(item.key()) == PublishedFormat.Kind.REPLICA;
            if (entry && !heldBack.containsKey(item.key()) && !isPublished(item)) {
                pending.putIfAbsent(item.key(), new PendingItem(item, source, false));
            }
        }
    }

    private boolean isPublished(StoredItem item) {
        return pool.replica(format.name(item.key())).filter(ReplicaTracker::hasEntry).isPresent();
    }

    private boolean isNewer(GatewayPublication parsed) {
        if (publication.isEmpty()) {
            return true;
        }
        long known = publication.get().version();
        return parsed.version() > known || listenerPending && parsed.version() == known;
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
        if (!use.isUsable(replica)) {
            pool.remove(id, false, now);
            recordReplicaChange(id, replica.service(), "NOT USABLE", item, source);
            return;
        }
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
