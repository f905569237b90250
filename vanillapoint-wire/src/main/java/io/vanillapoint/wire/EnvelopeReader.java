package io.vanillapoint.wire;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.RunState;
import io.vanillapoint.api.model.CustomerId;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.UpstreamKind;
import io.vanillapoint.api.model.VmId;
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
import io.vanillapoint.core.message.Hop;
import io.vanillapoint.core.message.KeyOrigin;
import io.vanillapoint.core.message.KeyOutcome;
import io.vanillapoint.core.message.KeyStatus;
import io.vanillapoint.core.message.LeaseGrant;
import io.vanillapoint.core.message.LeaseId;
import io.vanillapoint.core.message.LoadReply;
import io.vanillapoint.core.message.LoadRequest;
import io.vanillapoint.core.message.Member;
import io.vanillapoint.core.message.MembershipUpdate;
import io.vanillapoint.core.message.PeerHello;
import io.vanillapoint.core.message.PeerMessage;
import io.vanillapoint.core.message.PlacementView;
import io.vanillapoint.core.message.PublishedValue;
import io.vanillapoint.core.message.RegisterReply;
import io.vanillapoint.core.message.RegisterRequest;
import io.vanillapoint.core.message.ReservePurpose;
import io.vanillapoint.core.message.ReserveReply;
import io.vanillapoint.core.message.ReserveRequest;
import io.vanillapoint.core.message.RouteTarget;
import io.vanillapoint.core.message.Settle;
import io.vanillapoint.core.message.StoredResponse;
import io.vanillapoint.core.message.VisitedPath;
import io.vanillapoint.wire.generated.TCompleteKey;
import io.vanillapoint.wire.generated.TConfigReply;
import io.vanillapoint.wire.generated.TEnvelope;
import io.vanillapoint.wire.generated.TForwardFailure;
import io.vanillapoint.wire.generated.TForwardHead;
import io.vanillapoint.wire.generated.TForwardRequest;
import io.vanillapoint.wire.generated.THeader;
import io.vanillapoint.wire.generated.THeartbeat;
import io.vanillapoint.wire.generated.THeartbeatReply;
import io.vanillapoint.wire.generated.TLease;
import io.vanillapoint.wire.generated.TMember;
import io.vanillapoint.wire.generated.TNews;
import io.vanillapoint.wire.generated.TRegisterReply;
import io.vanillapoint.wire.generated.TRegisterRequest;
import io.vanillapoint.wire.generated.TReserveReply;
import io.vanillapoint.wire.generated.TReserveRequest;
import io.vanillapoint.wire.generated.TStoredAnswer;
import java.util.List;
import java.util.Optional;

/**
 * Converts Thrift structs to peer messages. A missing field is read as null, which the message
 * types reject in their own validation. Stateless.
 */
final class EnvelopeReader {
    private EnvelopeReader() {}

    static PeerMessage toMessage(TEnvelope envelope) {
        return switch (envelope.getSetField()) {
            case HELLO -> hello(envelope);
            case HEARTBEAT -> heartbeat(envelope.getHeartbeat());
            case HEARTBEAT_REPLY -> heartbeatReply(envelope.getHeartbeatReply());
            case RESERVE_REQUEST -> reserveRequest(envelope.getReserveRequest());
            case RESERVE_REPLY -> reserveReply(envelope.getReserveReply());
            case SETTLE ->
                    new Settle(envelope.getSettle().getId(), envelope.getSettle().getUnused());
            case REGISTER_REQUEST -> registerRequest(envelope.getRegisterRequest());
            case REGISTER_REPLY -> registerReply(envelope.getRegisterReply());
            case COMPLETE_KEY -> completeKey(envelope.getCompleteKey());
            case CONFIG_REQUEST -> new ConfigRequest(envelope.getConfigRequest().getNewerThan());
            case CONFIG_REPLY -> configReply(envelope.getConfigReply());
            case LOAD_REQUEST ->
                    new LoadRequest(
                            target(
                                    envelope.getLoadRequest().getKind(),
                                    envelope.getLoadRequest().getTarget()));
            case LOAD_REPLY ->
                    new LoadReply(
                            target(
                                    envelope.getLoadReply().getKind(),
                                    envelope.getLoadReply().getTarget()),
                            new RegionId(envelope.getLoadReply().getRegion()),
                            envelope.getLoadReply().getLoad());
            case FORWARD_REQUEST -> forwardRequest(envelope.getForwardRequest());
            case FORWARD_HEAD -> forwardHead(envelope.getForwardHead());
            case FORWARD_DATA ->
                    new ForwardData(
                            envelope.getForwardData().getStream(),
                            envelope.getForwardData().getBytes());
            case FORWARD_END ->
                    new ForwardEnd(
                            envelope.getForwardEnd().getStream(),
                            envelope.getForwardEnd().getBytes());
            case FORWARD_FAILURE -> forwardFailure(envelope.getForwardFailure());
            case FORWARD_CANCEL -> new ForwardCancel(envelope.getForwardCancel().getStream());
            case FORWARD_CREDIT ->
                    new ForwardCredit(
                            envelope.getForwardCredit().getStream(),
                            envelope.getForwardCredit().getBytes());
            case FORWARD_STALLED -> new ForwardStalled(envelope.getForwardStalled().getStream());
        };
    }

    private static PeerHello hello(TEnvelope envelope) {
        return new PeerHello(
                new VmId(envelope.getHello().getVm()),
                envelope.getHello().getIncarnation(),
                envelope.getHello().getProtocol());
    }

    private static Heartbeat heartbeat(THeartbeat struct) {
        return new Heartbeat(
                struct.getIncarnation(),
                struct.getSequence(),
                struct.getListedAt(),
                struct.isLeaving(),
                new LeaseId(struct.getHeldIncarnation(), struct.getHeldSequence()),
                struct.getConfigRevision(),
                membershipUpdate(struct.getNews()));
    }

    private static HeartbeatReply heartbeatReply(THeartbeatReply struct) {
        return new HeartbeatReply(
                struct.getIncarnation(),
                struct.getAskerIncarnation(),
                struct.getSequence(),
                struct.isActive(),
                struct.isCounted(),
                struct.getConfigRevision(),
                membershipUpdate(struct.getNews()),
                Optional.ofNullable(struct.getLease()).map(EnvelopeReader::lease));
    }

    private static MembershipUpdate membershipUpdate(TNews struct) {
        return new MembershipUpdate(
                struct.getDigest(), struct.getKnownDigest(), members(struct.getMembers()));
    }

    private static List<Member> members(List<TMember> structs) {
        return structs.stream()
                .map(member -> new Member(new VmId(member.getVm()), member.getListedAt()))
                .toList();
    }

    private static LeaseGrant lease(TLease struct) {
        List<PlacementView> views =
                struct.getViews().stream()
                        .map(
                                view ->
                                        new PlacementView(
                                                view.getVms().stream().map(VmId::new).toList()))
                        .toList();
        return new LeaseGrant(
                struct.getSequence(),
                struct.getShare(),
                struct.getDurationMillis(),
                struct.getViewsOf(),
                views);
    }

    private static ReserveRequest reserveRequest(TReserveRequest struct) {
        return new ReserveRequest(
                struct.getId(),
                new CustomerId(struct.getCustomer()),
                struct.getTokens(),
                ReservePurpose.valueOf(struct.getPurpose()));
    }

    private static ReserveReply reserveReply(TReserveReply struct) {
        return new ReserveReply(
                struct.getId(),
                struct.getGranted(),
                struct.getRetryAfterMillis(),
                struct.getShare());
    }

    private static RegisterRequest registerRequest(TRegisterRequest struct) {
        return new RegisterRequest(
                struct.getId(),
                struct.getKey(),
                struct.getAttempt(),
                struct.getFingerprint(),
                KeyOrigin.valueOf(struct.getOrigin()));
    }

    private static RegisterReply registerReply(TRegisterReply struct) {
        return new RegisterReply(
                struct.getId(),
                KeyStatus.valueOf(struct.getStatus()),
                struct.isFingerprintMatches(),
                Optional.ofNullable(struct.getAnswer()).map(EnvelopeReader::response));
    }

    private static CompleteKey completeKey(TCompleteKey struct) {
        return new CompleteKey(
                struct.getKey(),
                struct.getAttempt(),
                KeyOutcome.valueOf(struct.getOutcome()),
                Optional.ofNullable(struct.getAnswer()).map(EnvelopeReader::response));
    }

    private static StoredResponse response(TStoredAnswer struct) {
        return new StoredResponse(struct.getStatus(), struct.getContentType(), struct.getBody());
    }

    private static ConfigReply configReply(TConfigReply struct) {
        List<PublishedValue> values =
                struct.getValues().stream()
                        .map(v -> new PublishedValue(v.getKey(), v.getRevision(), v.getJson()))
                        .toList();
        return new ConfigReply(struct.getCompleteTo(), values);
    }

    private static ForwardRequest forwardRequest(TForwardRequest struct) {
        CustomerId customer =
                struct.getCustomer() == null ? null : new CustomerId(struct.getCustomer());
        List<Hop> hops =
                struct.getPath().stream()
                        .map(hop -> new Hop(new VmId(hop.getVm()), new RegionId(hop.getRegion())))
                        .toList();
        return new ForwardRequest(
                struct.getStream(),
                customer,
                target(struct.getKind(), struct.getTarget()),
                struct.getMethod(),
                struct.getUri(),
                headers(struct.getHeaders()),
                struct.getBody(),
                new VisitedPath(hops),
                struct.isRepeatable(),
                struct.getTokens());
    }

    private static RouteTarget target(String kind, String name) {
        return new RouteTarget(UpstreamKind.valueOf(kind), name);
    }

    private static ForwardHead forwardHead(TForwardHead struct) {
        return new ForwardHead(
                struct.getStream(), struct.getStatus(), headers(struct.getHeaders()));
    }

    private static ForwardFailure forwardFailure(TForwardFailure struct) {
        return new ForwardFailure(
                struct.getStream(),
                ErrorCode.valueOf(struct.getCode()),
                struct.getMessage(),
                RunState.valueOf(struct.getRunState()),
                struct.getRetryAfterMillis());
    }

    private static List<HeaderField> headers(List<THeader> structs) {
        return structs.stream().map(h -> new HeaderField(h.getName(), h.getValue())).toList();
    }
}
