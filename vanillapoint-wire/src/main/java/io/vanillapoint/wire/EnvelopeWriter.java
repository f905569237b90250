package io.vanillapoint.wire;

import io.vanillapoint.core.message.CompleteKey;
import io.vanillapoint.core.message.ConfigReply;
import io.vanillapoint.core.message.ConfigRequest;
import io.vanillapoint.core.message.ForwardCancel;
import io.vanillapoint.core.message.ForwardCredit;
import io.vanillapoint.core.message.ForwardData;
import io.vanillapoint.core.message.ForwardEnd;
import io.vanillapoint.core.message.ForwardFailure;
import io.vanillapoint.core.message.ForwardHead;
import io.vanillapoint.core.message.ForwardRequest;
import io.vanillapoint.core.message.ForwardStalled;
import io.vanillapoint.core.message.HeaderField;
import io.vanillapoint.core.message.Heartbeat;
import io.vanillapoint.core.message.HeartbeatReply;
import io.vanillapoint.core.message.LeaseGrant;
import io.vanillapoint.core.message.LoadReply;
import io.vanillapoint.core.message.LoadRequest;
import io.vanillapoint.core.message.Member;
import io.vanillapoint.core.message.MembershipUpdate;
import io.vanillapoint.core.message.PeerHello;
import io.vanillapoint.core.message.PeerMessage;
import io.vanillapoint.core.message.PlacementView;
import io.vanillapoint.core.message.RegisterReply;
import io.vanillapoint.core.message.RegisterRequest;
import io.vanillapoint.core.message.ReserveReply;
import io.vanillapoint.core.message.ReserveRequest;
import io.vanillapoint.core.message.RouteTarget;
import io.vanillapoint.core.message.Settle;
import io.vanillapoint.core.message.StoredResponse;
import io.vanillapoint.wire.generated.TCompleteKey;
import io.vanillapoint.wire.generated.TConfigReply;
import io.vanillapoint.wire.generated.TConfigRequest;
import io.vanillapoint.wire.generated.TEnvelope;
import io.vanillapoint.wire.generated.TForwardCancel;
import io.vanillapoint.wire.generated.TForwardCredit;
import io.vanillapoint.wire.generated.TForwardData;
import io.vanillapoint.wire.generated.TForwardEnd;
import io.vanillapoint.wire.generated.TForwardFailure;
import io.vanillapoint.wire.generated.TForwardHead;
import io.vanillapoint.wire.generated.TForwardRequest;
import io.vanillapoint.wire.generated.TForwardStalled;
import io.vanillapoint.wire.generated.THeader;
import io.vanillapoint.wire.generated.THeartbeat;
import io.vanillapoint.wire.generated.THeartbeatReply;
import io.vanillapoint.wire.generated.THello;
import io.vanillapoint.wire.generated.THop;
import io.vanillapoint.wire.generated.TLease;
import io.vanillapoint.wire.generated.TLoadReply;
import io.vanillapoint.wire.generated.TLoadRequest;
import io.vanillapoint.wire.generated.TMember;
import io.vanillapoint.wire.generated.TNews;
import io.vanillapoint.wire.generated.TPublishedValue;
import io.vanillapoint.wire.generated.TRegisterReply;
import io.vanillapoint.wire.generated.TRegisterRequest;
import io.vanillapoint.wire.generated.TReserveReply;
import io.vanillapoint.wire.generated.TReserveRequest;
import io.vanillapoint.wire.generated.TSettle;
import io.vanillapoint.wire.generated.TStoredAnswer;
import io.vanillapoint.wire.generated.TView;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** Converts peer messages to Thrift structs. Stateless. */
final class EnvelopeWriter {
    private static final Map<Class<?>, Function<PeerMessage, TEnvelope>> CONVERTERS =
            new HashMap<>();

    static {
        register(PeerHello.class, m -> TEnvelope.hello(hello(m)));
        register(Heartbeat.class, m -> TEnvelope.heartbeat(heartbeat(m)));
        register(HeartbeatReply.class, m -> TEnvelope.heartbeatReply(heartbeatReply(m)));
        register(
                ReserveRequest.class,
                m ->
                        TEnvelope.reserveRequest(
                                new TReserveRequest(
                                        m.id(),
                                        m.customer().value(),
                                        m.tokens(),
                                        m.purpose().name())));
        register(
                ReserveReply.class,
                m ->
                        TEnvelope.reserveReply(
                                new TReserveReply(
                                        m.id(), m.granted(), m.retryAfterMillis(), m.share())));
        register(Settle.class, m -> TEnvelope.settle(new TSettle(m.id(), m.unused())));
        register(RegisterRequest.class, m -> TEnvelope.registerRequest(registerRequest(m)));
        register(RegisterReply.class, m -> TEnvelope.registerReply(registerReply(m)));
        register(CompleteKey.class, m -> TEnvelope.completeKey(completeKey(m)));
        register(
                ConfigRequest.class,
                m -> TEnvelope.configRequest(new TConfigRequest(m.newerThan())));
        register(ConfigReply.class, m -> TEnvelope.configReply(configReply(m)));
        register(LoadRequest.class, m -> TEnvelope.loadRequest(loadRequest(m.target())));
        register(LoadReply.class, m -> TEnvelope.loadReply(loadReply(m)));
        register(ForwardRequest.class, m -> TEnvelope.forwardRequest(forwardRequest(m)));
        register(
                ForwardHead.class,
                m ->
                        TEnvelope.forwardHead(
                                new TForwardHead(m.stream(), m.status(), headers(m.headers()))));
        register(
                ForwardData.class,
                m ->
                        TEnvelope.forwardData(
                                new TForwardData(m.stream(), ByteBuffer.wrap(m.bytes()))));
        register(
                ForwardEnd.class,
                m -> TEnvelope.forwardEnd(new TForwardEnd(m.stream(), m.bytes())));
        register(ForwardFailure.class, m -> TEnvelope.forwardFailure(forwardFailure(m)));
        register(ForwardCancel.class, m -> TEnvelope.forwardCancel(new TForwardCancel(m.stream())));
        register(
                ForwardCredit.class,
                m -> TEnvelope.forwardCredit(new TForwardCredit(m.stream(), m.bytes())));
        register(
                ForwardStalled.class,
                m -> TEnvelope.forwardStalled(new TForwardStalled(m.stream())));
    }

    private EnvelopeWriter() {}

    static TEnvelope toEnvelope(PeerMessage message) {
        return CONVERTERS.get(message.getClass()).apply(message);
    }

    private static <T extends PeerMessage> void register(
            Class<T> type, Function<T, TEnvelope> converter) {
        CONVERTERS.put(type, message -> converter.apply(type.cast(message)));
    }

    private static THello hello(PeerHello message) {
        return new THello(message.vm().value(), message.incarnation(), message.protocol());
    }

    private static THeartbeat heartbeat(Heartbeat message) {
        return new THeartbeat(
                message.incarnation(),
                message.sequence(),
                message.listedAt(),
                message.leaving(),
                message.heldLease().incarnation(),
                message.heldLease().sequence(),
                message.configRevision(),
                membershipUpdate(message.membershipUpdate()));
    }

    private static THeartbeatReply heartbeatReply(HeartbeatReply message) {
        THeartbeatReply reply =
                new THeartbeatReply(
                        message.incarnation(),
                        message.requesterIncarnation(),
                        message.sequence(),
                        message.active(),
                        message.counted(),
                        message.configRevision(),
                        membershipUpdate(message.membershipUpdate()));
        message.lease().ifPresent(lease -> reply.setLease(lease(lease)));
        return reply;
    }

    private static TNews membershipUpdate(MembershipUpdate update) {
        return new TNews(update.digest(), update.knownDigest(), members(update.members()));
    }

    private static List<TMember> members(List<Member> members) {
        return members.stream().map(m -> new TMember(m.vm().value(), m.listedAt())).toList();
    }

    private static TLease lease(LeaseGrant lease) {
        List<TView> views = lease.views().stream().map(EnvelopeWriter::view).toList();
        return new TLease(
                lease.sequence(), lease.share(), lease.durationMillis(), views, lease.viewsOf());
    }

    private static TView view(PlacementView view) {
        return new TView(view.vms().stream().map(vm -> vm.value()).toList());
    }

    private static TRegisterRequest registerRequest(RegisterRequest message) {
        return new TRegisterRequest(
                message.id(),
                message.key(),
                message.attempt(),
                message.fingerprint(),
                message.origin().name());
    }

    private static TRegisterReply registerReply(RegisterReply message) {
        TRegisterReply reply =
                new TRegisterReply(
                        message.id(), message.status().name(), message.fingerprintMatches());
        message.response().ifPresent(response -> reply.setAnswer(response(response)));
        return reply;
    }

    private static TCompleteKey completeKey(CompleteKey message) {
        TCompleteKey complete =
                new TCompleteKey(message.key(), message.attempt(), message.outcome().name());
        message.response().ifPresent(response -> complete.setAnswer(response(response)));
        return complete;
    }

    private static TStoredAnswer response(StoredResponse response) {
        return new TStoredAnswer(
                response.status(), response.contentType(), ByteBuffer.wrap(response.body()));
    }

    private static TConfigReply configReply(ConfigReply message) {
        List<TPublishedValue> values =
                message.values().stream()
                        .map(v -> new TPublishedValue(v.key(), v.revision(), v.json()))
                        .toList();
        return new TConfigReply(message.completeThroughRevision(), values);
    }

    private static TLoadRequest loadRequest(RouteTarget target) {
        return new TLoadRequest(target.kind().name(), target.name());
    }

    private static TLoadReply loadReply(LoadReply message) {
        return new TLoadReply(
                message.target().kind().name(),
                message.target().name(),
                message.region().value(),
                message.load());
    }

    private static TForwardRequest forwardRequest(ForwardRequest message) {
        TForwardRequest request = new TForwardRequest();
        request.setStream(message.stream());
        if (message.customer() != null) {
            request.setCustomer(message.customer().value());
        }
        request.setKind(message.target().kind().name());
        request.setTarget(message.target().name());
        request.setMethod(message.method());
        request.setUri(message.uri());
        request.setHeaders(headers(message.headers()));
        request.setBody(message.body());
        request.setPath(
                message.path().hops().stream()
                        .map(hop -> new THop(hop.vm().value(), hop.region().value()))
                        .toList());
        request.setRepeatable(message.repeatable());
        request.setTokens(message.tokens());
        return request;
    }

    private static TForwardFailure forwardFailure(ForwardFailure message) {
        return new TForwardFailure(
                message.stream(),
                message.code().name(),
                message.message(),
                message.runState().name(),
                message.retryAfterMillis());
    }

    private static List<THeader> headers(List<HeaderField> headers) {
        return headers.stream().map(h -> new THeader(h.name(), h.value())).toList();
    }
}
