package io.vanillapoint.core.limit;

import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.message.MemberNews;
import java.util.HashMap;
import java.util.Map;

/**
 * What one VM has heard from the other VMs of its region. Confined to one thread.
 *
 * <p>Invariant: an answer counts only if it belongs to a heartbeat of this incarnation that is
 * still remembered, so that its age is counted from when the question was asked.
 */
final class PeerTable {
    private static final int MAX_PENDING = 16;

    private final Map<VmId, Peer> peers = new HashMap<>();

    Peer peer(VmId vm) {
        return peers.computeIfAbsent(vm, name -> new Peer());
    }

    /** True if the VM was heard from within a time. */
    boolean isAlive(VmId vm, long nowMillis, long failureMillis) {
        Peer peer = peers.get(vm);
        return peer != null && peer.heard && nowMillis - peer.heardAtMillis <= failureMillis;
    }

    /** State of one peer. */
    static final class Peer {
        private final Map<Long, Long> askedAtMillis = new HashMap<>();
        private long nextSequence = 1;
        private boolean heard;
        private long heardAtMillis;
        private long incarnation;
        private boolean leaving;
        private boolean counted;
        private long countedAskedAtMillis;
        private long takenDigest;
        private long knownToPeer;

        /** Starts a heartbeat and remembers when it was asked, in cautious time. */
        long ask(long cautiousMillis) {
            long sequence = nextSequence++;
            askedAtMillis.put(sequence, cautiousMillis);
            askedAtMillis.remove(sequence - MAX_PENDING);
            return sequence;
        }

        /**
         * Matches an answer with its question.
         *
         * @return cautious time of the question, or null if it is not remembered
         */
        Long answered(long sequence) {
            return askedAtMillis.remove(sequence);
        }

        void heard(long nowMillis, long peerIncarnation) {
            heard = true;
            heardAtMillis = nowMillis;
            if (peerIncarnation != incarnation) {
                incarnation = peerIncarnation;
                counted = false;
                takenDigest = 0;
                knownToPeer = 0;
            }
        }

        void leaving(boolean value) {
            leaving = value;
        }

        boolean leaving() {
            return leaving;
        }

        /** Takes note of a list of the peer; true if it is included and must be merged. */
        boolean takeNews(MemberNews news) {
            knownToPeer = news.knownDigest();
            if (news.members().isEmpty()) {
                return false;
            }
            takenDigest = news.digest();
            return true;
        }

        /** Digest of the peer's list that was taken over, 0 for none. */
        long takenDigest() {
            return takenDigest;
        }

        /** Digest of this VM's list that the peer has taken over, 0 for none. */
        long knownToPeer() {
            return knownToPeer;
        }

        void counted(boolean value, long askedMillis) {
            counted = value;
            countedAskedAtMillis = askedMillis;
        }

        /** True if the peer has said that it counts this VM, in answer to a recent question. */
        boolean countsSince(long earliestAskedMillis) {
            return counted && countedAskedAtMillis >= earliestAskedMillis;
        }
    }
}
