package io.vanillapoint.core.idempotency;

import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.hash.Rendezvous;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * The VMs that remember a key which the caller chose: the first ones in rendezvous order over the
 * platform's list, whether they can be reached or not.
 *
 * <p>Invariant: a VM calls itself certain of a key only if it has been one of the same homes under
 * every list it has seen within the time in which a repeat may come, lengthened by twice the list's
 * lag. So an attempt that was registered under another list is never taken for one that never was.
 * Confined to one thread.
 */
public final class KeyHomes {
    /** Number of VMs that remember a key. */
    public static final int HOMES = 2;

    private final VmId self;
    private final long certaintyMillis;
    private final ArrayDeque<Listing> history = new ArrayDeque<>();

    /**
     * Creates a history without a list.
     *
     * @param self name of this VM
     * @param repeatMillis time after the first attempt in which a repeat may come
     * @param listLagMillis largest lag of the platform's list
     */
    public KeyHomes(VmId self, long repeatMillis, long listLagMillis) {
        this.self = self;
        this.certaintyMillis = repeatMillis + 2 * listLagMillis;
    }

    /**
     * Takes over a list.
     *
     * @param nowMillis monotonic time
     * @param vms all VMs that the platform lists
     */
    public void acceptList(long nowMillis, Collection<VmId> vms) {
        Set<VmId> sorted = new TreeSet<>(vms);
        if (!history.isEmpty() && history.getLast().vms.equals(sorted)) {
            return;
        }
        history.addLast(new Listing(nowMillis, sorted));
    }

    /**
     * Homes of a key under the newest list.
     *
     * @param key customer and key
     * @param eligible VMs in which the customer's data may be kept
     * @return up to {@link #HOMES} VMs, the best first
     */
    public static List<VmId> homes(String key, Collection<VmId> eligible) {
        List<VmId> ranked = Rendezvous.rank(key, eligible, VmId::value);
        return List.copyOf(ranked.subList(0, Math.min(HOMES, ranked.size())));
    }

    /**
     * Tells whether this VM would certainly remember a key.
     *
     * @param nowMillis monotonic time
     * @param memorySinceMillis time since when it has remembered every key
     * @param key customer and key
     * @param mayKeep whether a VM may keep the customer's data
     * @return true if a key that is not remembered was not registered
     */
    public boolean isCertain(
            long nowMillis, long memorySinceMillis, String key, Predicate<VmId> mayKeep) {
        forget(nowMillis);
        if (history.isEmpty() || nowMillis - memorySinceMillis < certaintyMillis) {
            return false;
        }
        Set<VmId> newest = homesUnder(history.getLast(), key, mayKeep);
        return newest.contains(self)
                && history.stream()
                        .allMatch(listing -> homesUnder(listing, key, mayKeep).equals(newest));
    }

    private static Set<VmId> homesUnder(Listing listing, String key, Predicate<VmId> mayKeep) {
        return new TreeSet<>(homes(key, listing.vms.stream().filter(mayKeep).toList()));
    }

    /** Forgets lists that were replaced before the time that counts. */
    private void forget(long nowMillis) {
        while (history.size() > 1) {
            Listing oldest = history.removeFirst();
            if (nowMillis - history.getFirst().sinceMillis < certaintyMillis) {
                history.addFirst(oldest);
                return;
            }
        }
    }

    /** One list with the time since when it has been known. */
    private record Listing(long sinceMillis, Set<VmId> vms) {}
}
