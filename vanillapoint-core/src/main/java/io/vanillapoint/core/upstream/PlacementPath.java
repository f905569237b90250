package io.vanillapoint.core.upstream;

/** How a request gets to a replica. */
enum PlacementPath {
    /** From this VM to a replica of its region. */
    DIRECT,
    /** Through another VM of this region. */
    REGION_VM,
    /** Through a VM of another region. */
    OTHER_REGION
}
