package io.vanillapoint.core.fleet;

/**
 * A VM together with how long ago it was heard of. Immutable.
 *
 * @param info what the VM said
 * @param ageMillis time since it was heard, directly or through others
 */
public record HeardMember(MemberInfo info, long ageMillis) {}
