package io.vanillapoint.core.message;

import java.util.Optional;

/**
 * Answer to a {@link Heartbeat}. Immutable.
 *
 * @param incarnation process start of the sender of the reply
 * @param askerIncarnation incarnation in the heartbeat
 * @param sequence number of the heartbeat
 * @param active true if the sender of the reply holds its base share
 * @param counted true if every share that the sender of the reply uses or has leased counts the
 *     asker as a member
 * @param configRevision newest revision that the sender of the reply has in force
 * @param news VMs that the sender of the reply counts
 * @param lease lease of the share of the sender of the reply, if it gives one
 */
public record HeartbeatReply(
        long incarnation,
        long askerIncarnation,
        long sequence,
        boolean active,
        boolean counted,
        long configRevision,
        MemberNews news,
        Optional<LeaseGrant> lease)
        implements PeerMessage {}
