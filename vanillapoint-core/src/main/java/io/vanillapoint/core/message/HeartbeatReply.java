package io.vanillapoint.core.message;

import java.util.Optional;

/**
 * Reply to a {@link Heartbeat}. Immutable.
 *
 * @param incarnation process start of the replying VM
 * @param requesterIncarnation incarnation from the heartbeat
 * @param sequence sequence number of the heartbeat
 * @param active true if the replying VM holds its base share
 * @param counted true if every share that the replying VM uses or has leased out counts the
 *     requester as a member
 * @param configRevision newest configuration revision in force at the replying VM
 * @param membershipUpdate VMs that the replying VM counts as members
 * @param lease lease of the replying VM's share, if one is granted
 */
public record HeartbeatReply(
        long incarnation,
        long requesterIncarnation,
        long sequence,
        boolean active,
        boolean counted,
        long configRevision,
        MembershipUpdate membershipUpdate,
        Optional<LeaseGrant> lease)
        implements PeerMessage {}
