package io.vanillapoint.core.routing;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.model.Customer;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.message.VisitedPath;
import java.util.Optional;

/**
 * Decides whether a request and its data may go to a region or VM. Every dispatch, retry, forward
 * and receipt is checked here. Stateless.
 */
public final class RouteGuard {
    private RouteGuard() {}

    /**
     * Decides whether data may be processed in a region.
     *
     * @param customer customer of the request, or null on a route that is open to all
     * @param region region that would process the data
     * @return the refusal, empty if processing is permitted
     */
    public static Optional<VanillapointException> checkProcessing(
            Customer customer, RegionId region) {
        if (customer == null || customer.permits(region)) {
            return Optional.empty();
        }
        return Optional.of(
                new VanillapointException(
                        ErrorCode.REGION_NOT_PERMITTED,
                        "region " + region,
                        "expected a region that customer " + customer.id() + " permits"));
    }

    /**
     * Decides whether a request may be forwarded to another VM.
     *
     * @param customer customer of the request, or null on a route that is open to all
     * @param path VMs visited so far, including this one
     * @param vm next VM
     * @param region its region
     * @return the refusal, empty if forwarding is permitted
     */
    public static Optional<VanillapointException> checkForwarding(
            Customer customer, VisitedPath path, VmId vm, RegionId region) {
        if (path.isFull() || path.visited(vm) || path.visited(region)) {
            return Optional.of(
                    new VanillapointException(
                            ErrorCode.PATH_REVISITED,
                            "VM " + vm,
                            "expected a VM and region that the request has not visited"));
        }
        return checkProcessing(customer, region);
    }

    /**
     * Checks a request that came from another VM.
     *
     * @param customer customer of the request, or null on a route that is open to all
     * @param path VMs visited so far, excluding this one
     * @param self this VM
     * @param region its region
     * @return the refusal, empty if the request may run here
     */
    public static Optional<VanillapointException> checkReceiving(
            Customer customer, VisitedPath path, VmId self, RegionId region) {
        return checkForwarding(customer, path, self, region);
    }
}
