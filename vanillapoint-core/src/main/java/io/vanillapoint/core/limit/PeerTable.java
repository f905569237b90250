package io.vanillapoint.core.limit;

import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.message.MemberNews;
import java.util.HashMap;
import java.util.Map;

/**
 * State that one VM keeps about each other VM of its region. Confined to one thread.
 *
 * <p>Invariant: a reply is accepted only if it matches a pending heartbeat of this incarnation, so
 * that the age of its content is measured from when the heartbeat was sent.
 */
final class PeerTable {
    private static final int MAX_PENDING = 16;

    private final Map<VmId, Peer> peers = new HashMap<>();

    Peer peer(VmId vm) {
        return peers.computeIfAbsent(vm, name -> new Peer());
    }

    /** True if a message from the VM arrived within the last {@code failureMillis}. */
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

        /**
         * Allocates the sequence number of a heartbeat and records its send time, in cautious time.
         */
        long ask(long cautiousMillis) {
            long sequence = nextSequence++;
            askedAtMillis.put(sequence, cautiousMillis);
            askedAtMillis.remove(sequence - MAX_PENDING);
            return sequence;
        }

        /**
         * Matches a reply with its pending heartbeat.
         *
         * @return cautious time at which the heartbeat was sent, or null if it is not pending
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

        /** Processes a membership update of the peer; true if it has a member list to merge. */
        boolean takeNews(MemberNews news) {
            knownToPeer = news.knownDigest();
            if (news.members().isEmpty()) {
                return false;
            }
            takenDigest = news.digest();
            return true;
        }

        /** Digest of the peer's member list that was last merged, 0 for none. */
        long takenDigest() {
            return takenDigest;
        }

        /** Digest of this VM's member list that the peer has merged, 0 for none. */
        long knownToPeer() {
            return knownToPeer;
        }

        void counted(boolean value, long askedMillis) {
            counted = value;
            countedAskedAtMillis = askedMillis;
        }

        /**
         * True if the peer's last reply said that it counts this VM as a member, and its heartbeat
         * was sent at {@code earliestAskedMillis} or later.
         */
        boolean countsSince(long earliestAskedMillis) {
            return counted && countedAskedAtMillis >= earliestAskedMillis;
        }
    }
}
