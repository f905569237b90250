package io.vanillapoint.entry.traffic;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.core.retry.RetryAllowance;

/** Asks for a retry and records the answer with what it rests on. Stateless. */
final class RetryQuestion {
    private RetryQuestion() {}

    /**
     * Takes a retry out of the budget that all VMs share.
     *
     * @param context what requests share
     * @param plan the request
     * @return true if it may be made
     */
    static boolean granted(EntryContext context, RequestPlan plan) {
        RetryAllowance retries = context.retries();
        String service = plan.service().name();
        long now = context.clock().getAsLong();
        boolean granted = retries.take(service, now);
        context.log()
                .record(
                        EventCode.RETRY_ASKED,
                        plan.envelope().requestId(),
                        service,
                        granted,
                        retries.left(service, now),
                        retries.vms());
        context.metrics().count(granted ? "retries_granted" : "retries_refused");
        return granted;
    }
}
