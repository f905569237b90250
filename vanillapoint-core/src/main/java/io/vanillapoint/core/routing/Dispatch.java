package io.vanillapoint.core.routing;

import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.model.Upstream;
import io.vanillapoint.api.model.Vm;

/** Next destination of a request. Implementations are immutable. */
public sealed interface Dispatch {
    /**
     * The request goes to an upstream of this region.
     *
     * @param upstream the upstream
     */
    record ToUpstream(Upstream upstream) implements Dispatch {}

    /**
     * The request goes to a VM of another region.
     *
     * @param vm the VM
     */
    record ToVm(Vm vm) implements Dispatch {}

    /**
     * No destination is available.
     *
     * @param refusal error for the caller
     */
    record Unavailable(VanillapointException refusal) implements Dispatch {}
}
