package io.vanillapoint.cli.explain;

import io.vanillapoint.api.event.EventCode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * All decisions on one request in causal order, with the events that the VMs involved logged
 * shortly before and during the request. Immutable.
 */
public final class RequestTrace {
    /** Older events are assumed to have no influence on a decision. */
    private static final long CONTEXT_MILLIS = 8_000;

    private static final Set<EventCode> FINAL_EVENTS =
            Set.of(
                    EventCode.ANSWERED,
                    EventCode.REFUSED,
                    EventCode.REQUEST_FAILED,
                    EventCode.TOKENS_REFUSED,
                    EventCode.DENIED,
                    EventCode.CALLER_LEFT);

    private static final Set<EventCode> VM_EVENTS =
            Set.of(
                    EventCode.STORE_LOST,
                    EventCode.STORE_REGAINED,
                    EventCode.MEMBER_SUSPECTED,
                    EventCode.MEMBER_CHANGED,
                    EventCode.PUBLICATION_TAKEN,
                    EventCode.EVACUATION,
                    EventCode.ENTRY_STARTED,
                    EventCode.ENTRY_STATE,
                    EventCode.REPLICAS_OUT_OF_REACH,
                    EventCode.REPLICAS_IN_REACH,
                    EventCode.LINES_LEFT_OUT);

    private static final Set<EventCode> REPLICA_EVENTS =
            Set.of(
                    EventCode.REPLICA_CHANGED,
                    EventCode.REPLICA_UNREACHABLE,
                    EventCode.REPLICA_LEAVING,
                    EventCode.REPLICA_QUIET);

    private final String request;
    private final List<Decision> decisions;
    private final List<Decision> context;

    private RequestTrace(String request, List<Decision> decisions, List<Decision> context) {
        this.request = request;
        this.decisions = List.copyOf(decisions);
        this.context = List.copyOf(context);
    }

    /**
     * Collects the trace of a request.
     *
     * @param request id of the request
     * @param allDecisions decisions of all VMs
     * @return the trace, empty if no line contains the request id
     */
    public static RequestTrace of(String request, List<Decision> allDecisions) {
        List<Decision> decisions = new ArrayList<>();
        allDecisions.stream()
                .filter(decision -> decision.belongsTo(request))
                .forEach(decisions::add);
        Map<String, Long> lags = clockLags(decisions);
        decisions.replaceAll(decision -> decision.shiftedBy(lags.getOrDefault(decision.vm(), 0L)));
        decisions.sort(Comparator.comparingLong(Decision::atMillis));
        return new RequestTrace(request, decisions, context(decisions, allDecisions, lags));
    }

    /**
     * Id of the request.
     *
     * @return id
     */
    public String request() {
        return request;
    }

    /**
     * Decisions on the request itself.
     *
     * @return immutable list in causal order
     */
    public List<Decision> decisions() {
        return decisions;
    }

    /**
     * Events that the VMs involved logged before the last decision.
     *
     * @return immutable list, sorted by time
     */
    public List<Decision> context() {
        return context;
    }

    /**
     * The last decision with an event code.
     *
     * @param code event code
     * @return the decision, if any
     */
    public Optional<Decision> last(EventCode code) {
        return decisions.stream()
                .filter(decision -> decision.code() == code)
                .reduce((first, second) -> second);
    }

    /**
     * The final decision on the request, if it has the given event code.
     *
     * @param code event code
     * @return the last final decision of the VM that received the request, if it has the code
     */
    public Optional<Decision> outcome(EventCode code) {
        return decisions.stream()
                .filter(decision -> decision.vm().equals(decisions.get(0).vm()))
                .filter(decision -> FINAL_EVENTS.contains(decision.code()))
                .reduce((first, second) -> second)
                .filter(decision -> decision.code() == code);
    }

    /**
     * The last context event with an event code.
     *
     * @param code event code
     * @return the decision, if any
     */
    public Optional<Decision> lastContextEvent(EventCode code) {
        return context.stream()
                .filter(decision -> decision.code() == code)
                .reduce((first, second) -> second);
    }

    /**
     * A relayed request arrives after it was sent, so an earlier timestamp reveals a slow clock.
     */
    private static Map<String, Long> clockLags(List<Decision> decisions) {
        Map<String, Long> sent = new HashMap<>();
        Map<String, Long> lags = new HashMap<>();
        for (Decision decision : decisions) {
            if (decision.code() == EventCode.RELAYED) {
                sent.putIfAbsent(decision.text("to"), decision.atMillis());
            }
        }
        for (Decision decision : decisions) {
            Long sentAt = sent.get(decision.vm());
            if (decision.code() == EventCode.RELAY_ACCEPTED && sentAt != null) {
                long gap = sentAt - decision.atMillis();
                lags.merge(decision.vm(), Math.max(0, gap), Math::max);
            }
        }
        return lags;
    }

    private static List<Decision> context(
            List<Decision> decisions, List<Decision> allDecisions, Map<String, Long> lags) {
        if (decisions.isEmpty()) {
            return List.of();
        }
        Set<String> vms = new HashSet<>();
        Set<String> replicas = new HashSet<>();
        for (Decision decision : decisions) {
            vms.add(decision.vm());
            replicas.add(decision.text("replica"));
            replicas.add(decision.text("target"));
        }
        long from = decisions.get(0).atMillis() - CONTEXT_MILLIS;
        long to = decisions.get(decisions.size() - 1).atMillis();
        List<Decision> context = new ArrayList<>();
        for (Decision decision : allDecisions) {
            boolean relevant =
                    VM_EVENTS.contains(decision.code())
                            || (REPLICA_EVENTS.contains(decision.code())
                                    && replicas.contains(decision.text("replica")));
            Decision shifted = decision.shiftedBy(lags.getOrDefault(decision.vm(), 0L));
            boolean inWindow = shifted.atMillis() >= from && shifted.atMillis() <= to;
            if (relevant && inWindow && vms.contains(decision.vm())) {
                context.add(shifted);
            }
        }
        context.sort(Comparator.comparingLong(Decision::atMillis));
        return context;
    }
}
