package io.vanillapoint.core.config;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventSink;
import io.vanillapoint.api.finding.FindingCode;
import io.vanillapoint.api.finding.Findings;
import io.vanillapoint.api.finding.Place;
import io.vanillapoint.api.model.GatewayConfig;
import io.vanillapoint.core.message.PublishedValue;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The published values that one VM has accepted, from the platform or from peers.
 *
 * <p>Invariants: the revision of a value never decreases; a value that fails validation is rejected
 * as a whole and the last valid one stays in force; {@link #completeThroughRevision()} never
 * decreases. Confined to one thread.
 */
public final class ConfigStore {
    /** Key of the value that lists the VMs. */
    public static final String VM_LIST_KEY = "platform/vms";

    private final ValueParser parser;
    private final EventSink events;
    private final Map<String, Entry> entries = new TreeMap<>();
    private GatewayConfig current = GatewayConfig.empty();
    private long completeThroughRevision;

    /**
     * Creates an empty store.
     *
     * @param parser parser for the values
     * @param events sink for events
     */
    public ConfigStore(ValueParser parser, EventSink events) {
        this.parser = parser;
        this.events = events;
    }

    /**
     * The configuration in force.
     *
     * @return immutable configuration
     */
    public GatewayConfig current() {
        return current;
    }

    /**
     * Revision up to which all values have been received.
     *
     * @return revision, 0 before the first read
     */
    public long completeThroughRevision() {
        return completeThroughRevision;
    }

    /**
     * Revision of the VM list in force.
     *
     * @return revision, 0 if there is none
     */
    public long vmListRevision() {
        Entry entry = entries.get(VM_LIST_KEY);
        return entry == null ? 0 : entry.acceptedRevision();
    }

    /**
     * Values in force that changed after a revision, for a peer.
     *
     * @param revision revision that the peer has
     * @return values in force with a larger revision
     */
    public List<PublishedValue> newerThan(long revision) {
        return entries.values().stream()
                .map(entry -> entry.accepted)
                .filter(value -> value != null && value.revision() > revision)
                .toList();
    }

    /**
     * Applies received values.
     *
     * @param values received values; those older than the ones already seen are ignored
     * @param newCompleteThroughRevision revision up to which these values and the stored ones are
     *     complete
     * @param source sender of the values, recorded on the time line
     * @return true if the configuration in force changed
     */
    public boolean accept(
            Collection<PublishedValue> values, long newCompleteThroughRevision, String source) {
        boolean changed = false;
        for (PublishedValue value : values) {
            changed |= accept(value);
        }
        completeThroughRevision = Math.max(completeThroughRevision, newCompleteThroughRevision);
        if (changed) {
            current = assemble(entries.values());
            events.record(EventCode.CONFIG_ACCEPTED, current.revision(), source);
        }
        return changed;
    }

    private boolean accept(PublishedValue value) {
        Entry entry = entries.computeIfAbsent(value.key(), key -> new Entry());
        if (value.revision() <= entry.seenRevision) {
            if (value.revision() < entry.seenRevision) {
                events.record(EventCode.CONFIG_OLDER_IGNORED, value.key(), value.revision());
            }
            return false;
        }
        entry.seenRevision = value.revision();
        Findings findings = new Findings();
        ParsedValue parsed = parser.parse(value.key(), value.json(), findings);
        if (findings.isEmpty()) {
            checkConflicts(value, parsed, findings);
        }
        if (!findings.isEmpty()) {
            String text = findings.toString().trim();
            events.record(EventCode.CONFIG_REFUSED, value.key(), value.revision(), text);
            return false;
        }
        entry.accepted = value;
        entry.parsed = parsed;
        return true;
    }

    /** Adds a finding if the value conflicts with the other values in force. */
    private void checkConflicts(PublishedValue value, ParsedValue parsed, Findings findings) {
        Entry candidate = new Entry();
        candidate.accepted = value;
        candidate.parsed = parsed;
        List<Entry> combined = new ArrayList<>();
        entries.forEach((key, entry) -> combined.add(key.equals(value.key()) ? candidate : entry));
        try {
            assemble(combined);
        } catch (IllegalArgumentException e) {
            findings.add(Place.of(value.key()), FindingCode.DUPLICATE, e.getMessage());
        }
    }

    private static GatewayConfig assemble(Collection<Entry> entries) {
        long revision = entries.stream().mapToLong(Entry::acceptedRevision).max().orElse(0);
        GatewayConfig.Builder builder = GatewayConfig.builder(revision);
        for (Entry entry : entries) {
            if (entry.parsed != null) {
                entry.parsed.addTo(builder);
            }
        }
        return builder.build();
    }

    /** State of one value. */
    private static final class Entry {
        private long seenRevision;
        private PublishedValue accepted;
        private ParsedValue parsed;

        private long acceptedRevision() {
            return accepted == null ? 0 : accepted.revision();
        }
    }
}
