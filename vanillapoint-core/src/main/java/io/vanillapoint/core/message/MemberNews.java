package io.vanillapoint.core.message;

import java.util.List;

/**
 * The VMs that the sender counts. The list is left out if the receiver is known to have it.
 * Immutable.
 *
 * @param digest digest of the sender's list, never 0
 * @param knownDigest digest of the receiver's list that the sender has taken over, 0 for none
 * @param members the sender's list, or nothing if the receiver has said that it knows the digest
 */
public record MemberNews(long digest, long knownDigest, List<Member> members) {
    /** Copies the members. */
    public MemberNews {
        members = List.copyOf(members);
    }
}
