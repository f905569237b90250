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
public final class RequestStory {
    /** Older events are assumed to have no influence on a decision. */
    private static final long CONTEXT_MILLIS = 8_000;

    private static final Set<EventCode> ENDINGS =
            Set.of(
                    EventCode.ANSWERED,
                    EventCode.REFUSED,
                    EventCode.REQUEST_FAILED,
                    EventCode.TOKENS_REFUSED,
                    EventCode.DENIED,
                    EventCode.CALLER_LEFT);

    private static final Set<EventCode> OF_THE_VM =
            Set.of(
                    EventCode.STORE_LOST,
                    EventCode.STORE_REGAINED,
                    EventCode.MEMBER_SUSPECTED,
                    EventCode.MEMBER_CHANGED,
                    EventCode.PUBLICATION_TAKEN,
                    EventCode.EVACUATION,
                    EventCode.ENTRY_STARTED,
                    EventCode.ENTRY_STATE,
                    EventCode.LINES_LEFT_OUT);

    private static final Set<EventCode> OF_A_REPLICA =
            Set.of(
                    EventCode.REPLICA_CHANGED,
                    EventCode.REPLICA_UNREACHABLE,
                    EventCode.REPLICA_LEAVING,
                    EventCode.REPLICA_QUIET);

    private final String request;
    private final List<Decision> own;
    private final List<Decision> context;

    private RequestStory(String request, List<Decision> own, List<Decision> context) {
        this.request = request;
        this.own = List.copyOf(own);
        this.context = List.copyOf(context);
    }

    /**
     * Collects the trace of a request.
     *
     * @param request id of the request
     * @param all decisions of all VMs
     * @return the trace, empty if no line contains the request id
     */
    public static RequestStory of(String request, List<Decision> all) {
        List<Decision> own = new ArrayList<>();
        all.stream().filter(decision -> decision.concerns(request)).forEach(own::add);
        Map<String, Long> behind = clocksBehind(own);
        own.replaceAll(decision -> decision.later(behind.getOrDefault(decision.vm(), 0L)));
        own.sort(Comparator.comparingLong(Decision::atMillis));
        return new RequestStory(request, own, context(own, all, behind));
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
    public List<Decision> own() {
        return own;
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
        return own.stream()
                .filter(decision -> decision.code() == code)
                .reduce((first, second) -> second);
    }

    /**
     * The final decision on the request, if it has the given event code.
     *
     * @param code event code
     * @return the last final decision of the VM that received the request, if it has the code
     */
    public Optional<Decision> ending(EventCode code) {
        return own.stream()
                .filter(decision -> decision.vm().equals(own.get(0).vm()))
                .filter(decision -> ENDINGS.contains(decision.code()))
                .reduce((first, second) -> second)
                .filter(decision -> decision.code() == code);
    }

    /**
     * The last context event with an event code.
     *
     * @param code event code
     * @return the decision, if any
     */
    public Optional<Decision> learnt(EventCode code) {
        return context.stream()
                .filter(decision -> decision.code() == code)
                .reduce((first, second) -> second);
    }

    /**
     * A relayed request arrives after it was sent, so an earlier timestamp reveals a slow clock.
     */
    private static Map<String, Long> clocksBehind(List<Decision> own) {
        Map<String, Long> sent = new HashMap<>();
        Map<String, Long> behind = new HashMap<>();
        for (Decision decision : own) {
            if (decision.code() == EventCode.RELAYED) {
                sent.putIfAbsent(decision.text("to"), decision.atMillis());
            }
        }
        for (Decision decision : own) {
            Long sentAt = sent.get(decision.vm());
            if (decision.code() == EventCode.RELAY_ACCEPTED && sentAt != null) {
                long gap = sentAt - decision.atMillis();
                behind.merge(decision.vm(), Math.max(0, gap), Math::max);
            }
        }
        return behind;
    }

    private static List<Decision> context(
            List<Decision> own, List<Decision> all, Map<String, Long> behind) {
        if (own.isEmpty()) {
            return List.of();
        }
        Set<String> vms = new HashSet<>();
        Set<String> replicas = new HashSet<>();
        for (Decision decision : own) {
            vms.add(decision.vm());
            replicas.add(decision.text("replica"));
            replicas.add(decision.text("target"));
        }
        long from = own.get(0).atMillis() - CONTEXT_MILLIS;
        long to = own.get(own.size() - 1).atMillis();
        List<Decision> context = new ArrayList<>();
        for (Decision decision : all) {
            boolean concerned =
                    OF_THE_VM.contains(decision.code())
                            || (OF_A_REPLICA.contains(decision.code())
                                    && replicas.contains(decision.text("replica")));
            Decision shifted = decision.later(behind.getOrDefault(decision.vm(), 0L));
            boolean near = shifted.atMillis() >= from && shifted.atMillis() <= to;
            if (concerned && near && vms.contains(decision.vm())) {
                context.add(shifted);
            }
        }
        context.sort(Comparator.comparingLong(Decision::atMillis));
        return context;
    }
}
