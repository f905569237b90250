package io.vanillapoint.entry.traffic;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.core.retry.RetryAllowance;

/** Takes retries out of the shared budget and logs each decision with its inputs. Stateless. */
final class RetryGate {
    private RetryGate() {}

    /**
     * Takes a retry out of the budget that all VMs share.
     *
     * @param context services shared by all requests
     * @param plan request to retry
     * @return true if the retry may be made
     */
    static boolean tryAcquire(EntryContext context, RequestPlan plan) {
        RetryAllowance retries = context.retries();
        String service = plan.service().name();
        long now = context.clock().getAsLong();
        boolean granted = retries.tryAcquire(service, now);
        context.log()
                .record(
                        EventCode.RETRY_ASKED,
                        plan.envelope().requestId(),
                        service,
                        granted,
                        retries.available(service, now),
                        retries.vmCount());
        context.metrics().count(granted ? "retries_granted" : "retries_refused");
        return granted;
    }
}
