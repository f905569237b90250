package io.vanillapoint.core.limit;

import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.hash.Rendezvous;
import io.vanillapoint.core.message.Member;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The VMs of the region among which one VM splits the rate when it computes its base share.
 *
 * <p>Invariant: a VM is removed only if the platform's list, at a revision not older than any in
 * which the VM was seen, does not contain it, and only after a quarantine that outlasts every lease
 * that the VM may have granted. Confined to one thread.
 */
final class MemberTable {
    private final VmId self;
    private final long quarantineMillis;
    private final Map<VmId, Entry> entries = new TreeMap<>();
    private final Map<VmId, Long> removedRevisions = new HashMap<>();
    private long listRevision;
    private Set<VmId> listed = Set.of();

    MemberTable(VmId self, long quarantineMillis) {
        this.self = self;
        this.quarantineMillis = quarantineMillis;
    }

    /** Revision of the newest list, 0 before the first read. */
    long listRevision() {
        return listRevision;
    }

    /** Revision of the newest list if it contains this VM, else 0. */
    long selfListedRevision() {
        return listed.contains(self) ? listRevision : 0;
    }

    int size() {
        return entries.size();
    }

    Set<VmId> vms() {
        return entries.keySet();
    }

    boolean contains(VmId vm) {
        return entries.containsKey(vm);
    }

    /** True while a member that the list no longer contains is still in quarantine. */
    boolean hasQuarantinedMembers() {
        return entries.values().stream().anyMatch(Entry::isDelisted);
    }

    /** Digest of the members, never 0. Equal member lists have equal digests. */
    long digest() {
        long digest = 1;
        for (Map.Entry<VmId, Entry> entry : entries.entrySet()) {
            String revision = String.valueOf(entry.getValue().listedRevision);
            digest = 31 * digest + Rendezvous.weight(entry.getKey().value(), revision);
        }
        return digest == 0 ? 1 : digest;
    }

    List<Member> members() {
        List<Member> members = new ArrayList<>(entries.size());
        entries.forEach((vm, entry) -> members.add(new Member(vm, entry.listedRevision)));
        return members;
    }

    /**
     * Applies a list of the platform.
     *
     * @param nowMillis monotonic time
     * @param revision revision of the list; an older one is ignored
     * @param vms names of the region's VMs, leaving ones included
     */
    void acceptList(long nowMillis, long revision, Collection<VmId> vms) {
        if (revision < listRevision) {
            return;
        }
        listRevision = revision;
        listed = Set.copyOf(new TreeSet<>(vms));
        for (VmId vm : listed) {
            add(vm, revision);
        }
        entries.forEach((vm, entry) -> markIfDelisted(nowMillis, vm, entry));
    }

    /** Merges the members that another VM counts. */
    void merge(long nowMillis, Collection<Member> members) {
        for (Member member : members) {
            Long removedRevision = removedRevisions.get(member.vm());
            if (removedRevision != null && removedRevision >= member.listedAt()) {
                continue;
            }
            add(member.vm(), member.listedAt());
            markIfDelisted(nowMillis, member.vm(), entries.get(member.vm()));
        }
    }

    /** Removes members whose quarantine has ended. */
    void expire(long nowMillis) {
        Iterator<Map.Entry<VmId, Entry>> iterator = entries.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<VmId, Entry> next = iterator.next();
            Entry entry = next.getValue();
            if (entry.isDelisted() && nowMillis - entry.delistedAtMillis >= quarantineMillis) {
                removedRevisions.put(next.getKey(), entry.listedRevision);
                iterator.remove();
            }
        }
    }

    private void add(VmId vm, long listedRevision) {
        Entry entry = entries.computeIfAbsent(vm, name -> new Entry());
        entry.listedRevision = Math.max(entry.listedRevision, listedRevision);
        if (entry.listedRevision > listRevision || listed.contains(vm)) {
            entry.delistedAtMillis = Entry.NOT_DELISTED;
        }
    }

    private void markIfDelisted(long nowMillis, VmId vm, Entry entry) {
        boolean absent =
                !listed.contains(vm) && listRevision >= entry.listedRevision && listRevision > 0;
        if (absent && !entry.isDelisted() && !vm.equals(self)) {
            entry.delistedAtMillis = nowMillis;
        }
    }

    /** State of one member. */
    private static final class Entry {
        private static final long NOT_DELISTED = Long.MIN_VALUE;

        private long listedRevision;
        private long delistedAtMillis = NOT_DELISTED;

        private boolean isDelisted() {
            return delistedAtMillis != NOT_DELISTED;
        }
    }
}
