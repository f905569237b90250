package io.vanillapoint.core.limit;

import io.vanillapoint.core.message.PlacementView;
import java.util.List;

/**
 * The views under which one VM leases out its share.
 *
 * <p>Two leases with a common view never cover the same customer, because a view gives each
 * customer one home. So any two leases in use, and the VM's own use of its share, must have a
 * common view. A change of view therefore has a transition phase with both views, which ends when
 * every lease in use includes the new one. Confined to one thread.
 */
final class PlacementViewTransition {
    private PlacementView current;
    private PlacementView next;

    PlacementViewTransition(PlacementView initial) {
        this.current = initial;
        this.next = initial;
    }

    /** Views to include in new leases: one, or two during a transition. */
    List<PlacementView> leaseViews() {
        return current.equals(next) ? List.of(current) : List.of(current, next);
    }

    /** The new view during a transition, else the only view. */
    PlacementView target() {
        return next;
    }

    /**
     * Advances the transition to the wanted view as far as the leases in use allow.
     *
     * @return true if the views to include in new leases changed
     */
    boolean advance(PlacementView wanted, GrantedLeases grantedLeases) {
        List<PlacementView> previous = leaseViews();
        if (!current.equals(next) && grantedLeases.allInclude(next)) {
            current = next;
        }
        if (current.equals(next) && !next.equals(wanted) && grantedLeases.allInclude(current)) {
            next = wanted;
        }
        return !previous.equals(leaseViews());
    }
}
