package io.vanillapoint.core.routing;

import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.model.Upstream;
import io.vanillapoint.api.model.Vm;

/** Where a request goes next. Implementations are immutable. */
public sealed interface Dispatch {
    /**
     * To an upstream of this region.
     *
     * @param upstream the upstream
     */
    record ToUpstream(Upstream upstream) implements Dispatch {}

    /**
     * To a VM of another region.
     *
     * @param vm the VM
     */
    record ToVm(Vm vm) implements Dispatch {}

    /**
     * Nowhere.
     *
     * @param refusal why
     */
    record Nowhere(VanillapointException refusal) implements Dispatch {}
}
