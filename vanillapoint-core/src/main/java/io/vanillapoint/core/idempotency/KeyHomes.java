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
 * Determines the homes of a key that the caller chose: the first VMs in rendezvous order over the
 * platform's list, whether they can be reached or not.
 *
 * <p>Invariant: a VM is certain of a key only if the key's homes were the same and included this VM
 * under every list that it has seen within the retry period plus twice the list's lag. An attempt
 * that was registered under another list is therefore never mistaken for one that was never
 * registered. Confined to one thread.
 */
public final class KeyHomes {
    /** Number of homes of a key. */
    public static final int HOMES = 2;

    private final VmId self;
    private final long certaintyPeriodMillis;
    private final ArrayDeque<ListVersion> history = new ArrayDeque<>();

    /**
     * Creates a history without a list.
     *
     * @param self name of this VM
     * @param retryPeriodMillis period after the first attempt in which retries may arrive
     * @param listLagMillis largest lag of the platform's list
     */
    public KeyHomes(VmId self, long retryPeriodMillis, long listLagMillis) {
        this.self = self;
        this.certaintyPeriodMillis = retryPeriodMillis + 2 * listLagMillis;
    }

    /**
     * Records a new list of VMs. A list equal to the last one is ignored.
     *
     * @param nowMillis monotonic time
     * @param vms all VMs that the platform lists
     */
    public void updateVmList(long nowMillis, Collection<VmId> vms) {
        Set<VmId> sorted = new TreeSet<>(vms);
        if (!history.isEmpty() && history.getLast().vms.equals(sorted)) {
            return;
        }
        history.addLast(new ListVersion(nowMillis, sorted));
    }

    /**
     * Homes of a key among the given VMs.
     *
     * @param key customer and key
     * @param eligible VMs on which the customer's data may be stored
     * @return up to {@link #HOMES} VMs, in rendezvous order
     */
    public static List<VmId> homes(String key, Collection<VmId> eligible) {
        List<VmId> ranked = Rendezvous.rank(key, eligible, VmId::value);
        return List.copyOf(ranked.subList(0, Math.min(HOMES, ranked.size())));
    }

    /**
     * Tells whether the absence of a key on this VM proves that it was never registered.
     *
     * @param nowMillis monotonic time
     * @param completeSinceMillis time since which every key registered here is still stored
     * @param key customer and key
     * @param mayStore whether a VM may store the customer's data
     * @return true if a key that this VM does not know was not registered
     */
    public boolean canProveAbsence(
            long nowMillis, long completeSinceMillis, String key, Predicate<VmId> mayStore) {
        removeExpired(nowMillis);
        if (history.isEmpty() || nowMillis - completeSinceMillis < certaintyPeriodMillis) {
            return false;
        }
        Set<VmId> newestHomes = homesUnder(history.getLast(), key, mayStore);
        return newestHomes.contains(self)
                && history.stream()
                        .allMatch(
                                version -> homesUnder(version, key, mayStore).equals(newestHomes));
    }

    private static Set<VmId> homesUnder(ListVersion version, String key, Predicate<VmId> mayStore) {
        return new TreeSet<>(homes(key, version.vms.stream().filter(mayStore).toList()));
    }

    /** Removes lists that were replaced before the certainty period. */
    private void removeExpired(long nowMillis) {
        while (history.size() > 1) {
            ListVersion oldest = history.removeFirst();
            if (nowMillis - history.getFirst().firstSeenMillis < certaintyPeriodMillis) {
                history.addFirst(oldest);
                return;
            }
        }
    }

    /** A list of VMs and the time at which this VM first saw it. */
    private record ListVersion(long firstSeenMillis, Set<VmId> vms) {}
}
