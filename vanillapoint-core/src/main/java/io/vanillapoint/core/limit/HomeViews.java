package io.vanillapoint.core.limit;

import io.vanillapoint.core.message.HomeView;
import java.util.List;

/**
 * The views under which one VM gives its share away.
 *
 * <p>Two leases under a common view never cover the same customer. So any two leases in use, and
 * the VM's own use, must name a common view. A change therefore goes through a phase in which both
 * views are named, and ends when every lease in use names the new one. Confined to one thread.
 */
final class HomeViews {
    private HomeView from;
    private HomeView to;

    HomeViews(HomeView first) {
        this.from = first;
        this.to = first;
    }

    /** Views to name: one, or two during a change. */
    List<HomeView> named() {
        return from.equals(to) ? List.of(from) : List.of(from, to);
    }

    /** The view to which a change leads, or the present one. */
    HomeView newest() {
        return to;
    }

    /**
     * Moves towards a wanted view as far as the leases in use allow.
     *
     * @return true if the named views changed
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
