package io.vanillapoint.core.message;

/**
 * Sent by each VM to every other VM of its region. It also requests a lease of the receiver's
 * share. Immutable.
 *
 * @param incarnation process start of the sender, larger for later starts
 * @param sequence sequence number, increasing per sender and receiver
 * @param listedAt revision of the platform's list that contains the sender, 0 for none
 * @param leaving true if the sender accepts no new requests
 * @param heldLease newest lease of the receiver's share that the sender holds
 * @param configRevision newest configuration revision in force at the sender
 * @param membershipUpdate VMs that the sender counts as members
 */
public record Heartbeat(
        long incarnation,
        long sequence,
        long listedAt,
        boolean leaving,
        LeaseId heldLease,
        long configRevision,
        MembershipUpdate membershipUpdate)
        implements PeerMessage {
    @Override
    public boolean expectsReply() {
        return true;
    }
}
