package io.vanillapoint.core.message;

/**
 * Sent by each VM to every other VM of its region. It also asks the receiver for a lease of its
 * share. Immutable.
 *
 * @param incarnation process start of the sender, larger for later starts
 * @param sequence number of the heartbeat, rising per sender and receiver
 * @param listedAt revision of the platform's list in which the sender sees itself, 0 if in none
 * @param leaving true if the sender takes no new work
 * @param heldLease newest lease of the receiver's share that the sender has taken
 * @param configRevision newest revision that the sender has in force
 * @param news VMs that the sender counts
 */
public record Heartbeat(
        long incarnation,
        long sequence,
        long listedAt,
        boolean leaving,
        LeaseName heldLease,
        long configRevision,
        MemberNews news)
        implements PeerMessage {
    @Override
    public boolean expectsAnswer() {
        return true;
    }
}
