package io.vanillapoint.core.message;

import java.util.List;

/**
 * The VMs that the sender counts as members. The list is omitted if the receiver already has it.
 * Immutable.
 *
 * @param digest digest of the sender's list, never 0
 * @param knownDigest digest of the receiver's list that the sender has merged, 0 for none
 * @param members the sender's list, empty if the receiver has confirmed the digest
 */
public record MembershipUpdate(long digest, long knownDigest, List<Member> members) {
    /** Copies the members. */
    public MembershipUpdate {
        members = List.copyOf(members);
    }
}
