package io.vanillapoint.core.limit;

import io.vanillapoint.core.message.HomeView;
import java.util.List;

/**
 * The views under which one VM leases out its share.
 *
 * <p>Two leases with a common view never cover the same customer, because a view gives each
 * customer one home. So any two leases in use, and the VM's own use of its share, must have a
 * common view. A change of view therefore has a transition phase with both views, which ends when
 * every lease in use includes the new one. Confined to one thread.
 */
final class HomeViews {
    private HomeView from;
    private HomeView to;

    HomeViews(HomeView first) {
        this.from = first;
        this.to = first;
    }

    /** Views to include in new leases: one, or two during a transition. */
    List<HomeView> named() {
        return from.equals(to) ? List.of(from) : List.of(from, to);
    }

    /** The new view during a transition, else the only view. */
    HomeView newest() {
        return to;
    }

    /**
     * Advances the transition to the wanted view as far as the leases in use allow.
     *
     * @return true if the views to include in new leases changed
     */
    boolean advance(HomeView wanted, GivenLeases given) {
        List<HomeView> before = named();
        if (!from.equals(to) && given.allName(to)) {
            from = to;
        }
        if (from.equals(to) && !to.equals(wanted) && given.allName(from)) {
            to = wanted;
        }
        return !before.equals(named());
    }
}
