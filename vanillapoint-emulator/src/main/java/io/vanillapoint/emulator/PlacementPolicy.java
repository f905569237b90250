package io.vanillapoint.emulator;

import io.vanillapoint.core.hash.Rendezvous;
import io.vanillapoint.core.upstream.Placement;
import io.vanillapoint.core.upstream.PlacementQuery;
import io.vanillapoint.core.upstream.RefusalReason;
import io.vanillapoint.core.upstream.ReplicaTracker;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Placement policies to compare: the production policy and simple baselines. Immutable. */
public enum PlacementPolicy {
    /** The production policy. */
    LEAST_LOSS {
        @Override
        Placement choose(VmModel vm, PlacementQuery query, long nowMillis) {
            return vm.chooser().choose(query, nowMillis);
        }
    },
    /** The replica of the VM's region with the fewest outstanding requests of this VM. */
    LEAST_OUTSTANDING {
        @Override
        Placement choose(VmModel vm, PlacementQuery query, long nowMillis) {
            return placeLocally(
                    query,
                    candidates(vm, query, nowMillis).stream()
                            .min(
                                    Comparator.comparingInt(
                                            replica -> replica.outstanding().requests())));
        }
    },
    /** The session's replica by rendezvous hashing, regardless of its load. */
    AFFINITY {
        @Override
        Placement choose(VmModel vm, PlacementQuery query, long nowMillis) {
            String key = query.prompt().orElseThrow().affinityKey();
            return placeLocally(
                    query,
                    Rendezvous.pick(
                            key, candidates(vm, query, nowMillis), replica -> replica.info().id()));
        }
    },
    /** A random replica of the VM's region. */
    RANDOM {
        @Override
        Placement choose(VmModel vm, PlacementQuery query, long nowMillis) {
            List<ReplicaTracker> candidates = candidates(vm, query, nowMillis);
            if (candidates.isEmpty()) {
                return placeLocally(query, Optional.empty());
            }
            return placeLocally(
                    query, Optional.of(candidates.get(vm.random().nextInt(candidates.size()))));
        }
    };

    private static final long RETRY_AFTER_MILLIS = 400;

    abstract Placement choose(VmModel vm, PlacementQuery query, long nowMillis);

    private static List<ReplicaTracker> candidates(
            VmModel vm, PlacementQuery query, long nowMillis) {
        return vm.pool().serving(query.service().name(), nowMillis).stream()
                .filter(replica -> replica.region().equals(vm.region()))
                .filter(replica -> !query.tried().contains(replica.info().id()))
                .toList();
    }

    private static Placement placeLocally(PlacementQuery query, Optional<ReplicaTracker> replica) {
        if (replica.isEmpty()) {
            return new Placement.Refuse(RefusalReason.NO_REPLICA, RETRY_AFTER_MILLIS);
        }
        long uncached =
                query.prompt().orElseThrow().promptTokens()
                        - replica.get().prefixCache().cachedTokens(query.prompt().get());
        return new Placement.Local(replica.get(), Math.max(0, uncached), 0, Optional.empty());
    }
}
