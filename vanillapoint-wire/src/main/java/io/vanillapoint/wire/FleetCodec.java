package io.vanillapoint.wire;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.fleet.CustomerUse;
import io.vanillapoint.core.fleet.FleetReport;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.fleet.MemberObservation;
import io.vanillapoint.core.fleet.MemberState;
import io.vanillapoint.core.fleet.ReportPage;
import io.vanillapoint.core.fleet.SessionCacheEntry;
import io.vanillapoint.core.fleet.SilenceCounts;
import io.vanillapoint.core.fleet.UpstreamSignals;
import io.vanillapoint.core.fleet.UpstreamUse;
import io.vanillapoint.core.message.HeaderField;
import io.vanillapoint.core.message.RelayRequest;
import io.vanillapoint.core.published.StoreChanges;
import io.vanillapoint.core.published.StorePosition;
import io.vanillapoint.core.published.StoredItem;
import io.vanillapoint.core.quarantine.QuarantineReport;
import io.vanillapoint.wire.generated.TCustomerUse;
import io.vanillapoint.wire.generated.TFleetMember;
import io.vanillapoint.wire.generated.TFleetReport;
import io.vanillapoint.wire.generated.THeader;
import io.vanillapoint.wire.generated.TRelayRequest;
import io.vanillapoint.wire.generated.TSessionRead;
import io.vanillapoint.wire.generated.TStoredDelta;
import io.vanillapoint.wire.generated.TStoredItem;
import io.vanillapoint.wire.generated.TUpstreamUse;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.apache.thrift.TBase;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;

/**
 * Encodes and decodes heartbeats, store copies and relayed requests in Thrift's compact protocol.
 * Unknown fields are skipped, so that VMs of different versions interoperate. Stateless and
 * thread-safe.
 */
public final class FleetCodec {
    private static final int INITIAL_BYTES = 1_024;
    private static final int MAX_BYTES = 16 * 1_024 * 1_024;

    /**
     * Encodes a heartbeat.
     *
     * @param report heartbeat
     * @return payload of one datagram
     */
    public byte[] encode(FleetReport report) {
        TFleetReport message = new TFleetReport();
        message.setSender(member(new MemberObservation(report.self(), 0)));
        message.setSequence(report.sequence());
        message.setPublishedRevision(report.published().revision());
        message.setStoreEra(report.published().era());
        List<TCustomerUse> customers = new ArrayList<>();
        report.customers()
                .forEach(
                        (name, use) ->
                                customers.add(new TCustomerUse(name, use.tokens(), use.level())));
        message.setCustomers(customers);
        List<TUpstreamUse> upstreams = new ArrayList<>();
        report.upstreams().forEach((id, use) -> upstreams.add(UpstreamCodec.encode(id, use)));
        report.silences().forEach((id, counts) -> UpstreamCodec.add(upstreams, id, counts));
        report.signals().forEach((id, signals) -> UpstreamCodec.add(upstreams, id, signals));
        message.setUpstreams(upstreams);
        List<TSessionRead> reads = new ArrayList<>();
        for (SessionCacheEntry read : report.reads()) {
            reads.add(new TSessionRead(read.session(), read.upstream(), (int) read.ageMillis()));
        }
        message.setReads(reads);
        message.setReadsStore(report.readsStore());
        if (!report.page().equals(ReportPage.WHOLE)) {
            message.setUpstreamPage(report.page().number());
            message.setUpstreamPages(report.page().count());
            message.setCustomersLeftOut(report.page().customersLeftOut());
        }
        if (!report.quarantine().isEmpty()) {
            message.setQuarantine(QuarantineCodec.encode(report.quarantine()));
        }
        report.unreachable().ifPresent(ids -> message.setUnreachable(List.copyOf(ids)));
        if (!report.rejectionLimits().isEmpty()) {
            message.setRejectionLimits(report.rejectionLimits());
        }
        message.setLoad(report.load());
        message.setFleetSize(report.fleetSize());
        message.setRegionVms(report.regionVms());
        message.setOthers(report.others().stream().map(FleetCodec::member).toList());
        return serialize(message);
    }

    /**
     * Decodes a heartbeat.
     *
     * @param bytes payload of one datagram
     * @return the heartbeat
     * @throws VanillapointException with {@link ErrorCode#BAD_MESSAGE} if it is malformed
     */
    public FleetReport decodeReport(byte[] bytes) {
        TFleetReport message = new TFleetReport();
        deserialize(message, bytes);
        return convert(() -> report(message));
    }

    private static FleetReport report(TFleetReport message) {
        Map<String, CustomerUse> customers = new HashMap<>();
        message.getCustomers()
                .forEach(
                        use ->
                                customers.put(
                                        use.getCustomer(),
                                        new CustomerUse(use.getTokens(), use.getLevel())));
        Map<String, UpstreamUse> upstreams = new HashMap<>();
        Map<String, SilenceCounts> silences = new HashMap<>();
        Map<String, UpstreamSignals> signals = new HashMap<>();
        for (TUpstreamUse entry : message.getUpstreams()) {
            String id = entry.getUpstream();
            UpstreamCodec.silence(entry).ifPresent(counts -> silences.put(id, counts));
            UpstreamCodec.signals(entry).ifPresent(observed -> signals.put(id, observed));
            UpstreamUse use = UpstreamCodec.use(entry);
            boolean onlyObserved = silences.containsKey(id) || signals.containsKey(id);
            if (!onlyObserved || !use.equals(UpstreamUse.NONE)) {
                upstreams.put(id, use);
            }
        }
        FleetReport.Builder report =
                FleetReport.builder(member(message.getSender()).info(), message.getSequence())
                        .load(message.getLoad())
                        .fleetSize(message.getFleetSize())
                        .regionVms(message.getRegionVms())
                        .store(
                                new StorePosition(
                                        message.getStoreEra(), message.getPublishedRevision()),
                                message.isReadsStore())
                        .customers(customers)
                        .upstreams(upstreams)
                        .silences(silences)
                        .signals(signals)
                        .reads(
                                message.getReads().stream()
                                        .map(
                                                read ->
                                                        new SessionCacheEntry(
                                                                read.getSession(),
                                                                read.getUpstream(),
                                                                read.getAgeMillis()))
                                        .toList())
                        .page(page(message))
                        .others(message.getOthers().stream().map(FleetCodec::member).toList())
                        .quarantine(
                                message.isSetQuarantine()
                                        ? QuarantineCodec.decode(message.getQuarantine())
                                        : QuarantineReport.EMPTY);
        if (message.isSetUnreachable()) {
            report.unreachable(Set.copyOf(message.getUnreachable()));
        }
        if (message.isSetRejectionLimits()) {
            report.rejectionLimits(message.getRejectionLimits());
        }
        return report.build();
    }

    /**
     * Encodes a set of store changes.
     *
     * @param changes store changes
     * @return encoded changes
     */
    public byte[] encode(StoreChanges changes) {
        List<TStoredItem> items = new ArrayList<>();
        for (StoredItem item : changes.items()) {
            ByteBuffer value = ByteBuffer.wrap(item.value());
            items.add(new TStoredItem(item.key(), item.revision(), item.removed(), value));
        }
        StorePosition position = changes.position();
        TStoredDelta message = new TStoredDelta(position.revision(), items, changes.complete());
        message.setEra(position.era());
        return serialize(message);
    }

    /**
     * Decodes a set of store changes.
     *
     * @param bytes response body from another VM
     * @return store changes
     * @throws VanillapointException with {@link ErrorCode#BAD_MESSAGE} if it is malformed
     */
    public StoreChanges decodeStoreChanges(byte[] bytes) {
        TStoredDelta message = new TStoredDelta();
        deserialize(message, bytes);
        return convert(() -> storeChanges(message));
    }

    private static StoreChanges storeChanges(TStoredDelta message) {
        List<StoredItem> items = new ArrayList<>();
        for (TStoredItem item : message.getItems()) {
            items.add(
                    new StoredItem(
                            item.getKey(), item.getRevision(), item.isRemoved(), item.getValue()));
        }
        StorePosition position = new StorePosition(message.getEra(), message.getRevision());
        return new StoreChanges(position, message.isComplete(), items);
    }

    /**
     * Encodes a request to relay to a VM in another region.
     *
     * @param request the request
     * @return encoded request
     */
    public byte[] encode(RelayRequest request) {
        TRelayRequest message = new TRelayRequest();
        message.setRequestId(request.requestId());
        message.setRoute(request.route());
        message.setServiceName(request.service());
        request.customer().ifPresent(message::setCustomer);
        message.setRemainingMillis(request.remainingMillis());
        message.setMethod(request.method());
        message.setUri(request.uri());
        List<THeader> headers = new ArrayList<>();
        request.headers()
                .forEach(header -> headers.add(new THeader(header.name(), header.value())));
        message.setHeaders(headers);
        message.setBody(request.body());
        message.setConfigurationVersion(request.configurationVersion());
        return serialize(message);
    }

    /**
     * Decodes a request relayed by a VM in another region.
     *
     * @param bytes request body from the other VM
     * @return the request
     * @throws VanillapointException with {@link ErrorCode#BAD_MESSAGE} if it is malformed
     */
    public RelayRequest decodeRelayRequest(byte[] bytes) {
        TRelayRequest message = new TRelayRequest();
        deserialize(message, bytes);
        return convert(() -> relayRequest(message));
    }

    private static RelayRequest relayRequest(TRelayRequest message) {
        return new RelayRequest(
                message.getRequestId(),
                message.getRoute(),
                message.getServiceName(),
                Optional.ofNullable(message.getCustomer()),
                message.getRemainingMillis(),
                message.getMethod(),
                message.getUri(),
                message.getHeaders().stream()
                        .map(header -> new HeaderField(header.getName(), header.getValue()))
                        .toList(),
                message.getBody(),
                message.getConfigurationVersion());
    }

    private static ReportPage page(TFleetReport message) {
        return message.isSetUpstreamPages()
                ? new ReportPage(
                        message.getUpstreamPage(),
                        message.getUpstreamPages(),
                        message.isCustomersLeftOut())
                : ReportPage.WHOLE;
    }

    private static TFleetMember member(MemberObservation observation) {
        MemberInfo info = observation.info();
        return new TFleetMember(
                info.vm(),
                info.host(),
                info.region().value(),
                info.zone().value(),
                info.incarnation(),
                info.state().ordinal(),
                observation.ageMillis(),
                info.capacity());
    }

    private static MemberObservation member(TFleetMember member) {
        MemberInfo info =
                new MemberInfo(
                        member.getVm(),
                        member.getHost(),
                        new RegionId(member.getRegion()),
                        new ZoneId(member.getZone()),
                        member.getCapacity(),
                        member.getIncarnation(),
                        MemberState.values()[member.getState()]);
        return new MemberObservation(info, member.getAgeMillis());
    }

    private static byte[] serialize(TBase<?, ?> message) {
        try {
            TMemoryBuffer buffer = new TMemoryBuffer(INITIAL_BYTES);
            message.write(new TCompactProtocol(buffer));
            return Arrays.copyOf(buffer.getArray(), buffer.length());
        } catch (TException e) {
            throw badMessage(e.toString());
        }
    }

    private static void deserialize(TBase<?, ?> message, byte[] bytes) {
        try {
            message.read(
                    new TCompactProtocol(
                            new TMemoryInputTransport(MessageLimits.ofSize(MAX_BYTES), bytes)));
        } catch (TException | RuntimeException e) {
            throw badMessage(e.toString());
        }
    }

    /**
     * Converts a parsed struct. Well-formed Thrift can still lack fields that every VM sends or
     * hold invalid values; these are reported as {@link ErrorCode#BAD_MESSAGE} too.
     */
    private static <T> T convert(Supplier<T> converter) {
        try {
            return converter.get();
        } catch (RuntimeException e) {
            throw badMessage(e.toString());
        }
    }

    private static VanillapointException badMessage(String cause) {
        return new VanillapointException(ErrorCode.BAD_MESSAGE, "fleet message", cause);
    }
}
