package io.vanillapoint.core.limit;

import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.message.MembershipUpdate;
import java.util.HashMap;
import java.util.Map;

/**
 * State that one VM keeps about each other VM of its region. Confined to one thread.
 *
 * <p>Invariant: a reply is accepted only if it matches a pending heartbeat of this incarnation, so
 * that the age of its content is measured from when the heartbeat was sent.
 */
final class PeerTable {
    private static final int MAX_PENDING_HEARTBEATS = 16;

    private final Map<VmId, Peer> peers = new HashMap<>();

    Peer peer(VmId vm) {
        return peers.computeIfAbsent(vm, name -> new Peer());
    }

    /** True if a message from the VM arrived within the last {@code failureMillis}. */
    boolean isAlive(VmId vm, long nowMillis, long failureMillis) {
        Peer peer = peers.get(vm);
        return peer != null
                && peer.messageReceived
                && nowMillis - peer.lastMessageMillis <= failureMillis;
    }

    /** State of one peer. */
    static final class Peer {
        private final Map<Long, Long> pendingSentAtMillis = new HashMap<>();
        private long nextSequence = 1;
        private boolean messageReceived;
        private long lastMessageMillis;
        private long incarnation;
        private boolean leaving;
        private boolean countsThisVm;
        private long countedSentAtMillis;
        private long mergedDigest;
        private long digestKnownToPeer;

        /**
         * Allocates the sequence number of a heartbeat and records its send time, in conservative
         * time.
         */
        long startHeartbeat(long conservativeMillis) {
            long sequence = nextSequence++;
            pendingSentAtMillis.put(sequence, conservativeMillis);
            pendingSentAtMillis.remove(sequence - MAX_PENDING_HEARTBEATS);
            return sequence;
        }

        /**
         * Matches a reply with its pending heartbeat.
         *
         * @return conservative time at which the heartbeat was sent, or null if it is not pending
         */
        Long completeHeartbeat(long sequence) {
            return pendingSentAtMillis.remove(sequence);
        }

        void recordMessage(long nowMillis, long peerIncarnation) {
            messageReceived = true;
            lastMessageMillis = nowMillis;
            if (peerIncarnation != incarnation) {
                incarnation = peerIncarnation;
                countsThisVm = false;
                mergedDigest = 0;
                digestKnownToPeer = 0;
            }
        }

        void setLeaving(boolean value) {
            leaving = value;
        }

        boolean leaving() {
            return leaving;
        }

        /** Processes a membership update of the peer; true if it has a member list to merge. */
        boolean acceptUpdate(MembershipUpdate update) {
            digestKnownToPeer = update.knownDigest();
            if (update.members().isEmpty()) {
                return false;
            }
            mergedDigest = update.digest();
            return true;
        }

        /** Digest of the peer's member list that was last merged, 0 for none. */
        long mergedDigest() {
            return mergedDigest;
        }

        /** Digest of this VM's member list that the peer has merged, 0 for none. */
        long digestKnownToPeer() {
            return digestKnownToPeer;
        }

        /** Records a reply; one to a heartbeat sent before the last counted one is late. */
        void setCounted(boolean value, long sentMillis) {
            if (sentMillis >= countedSentAtMillis) {
                countsThisVm = value;
                countedSentAtMillis = sentMillis;
            }
        }

        /**
         * True if the peer's last reply said that it counts this VM as a member, and its heartbeat
         * was sent at {@code earliestSentMillis} or later.
         */
        boolean countsThisVmSince(long earliestSentMillis) {
            return countsThisVm && countedSentAtMillis >= earliestSentMillis;
        }
    }
}
