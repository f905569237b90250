package io.vanillapoint.entry.control;

import io.vanillapoint.core.fleet.FleetReport;
import io.vanillapoint.core.fleet.FleetTiming;
import io.vanillapoint.core.fleet.StoreReaders;
import io.vanillapoint.core.fleet.StoreVms;
import io.vanillapoint.core.published.StorePosition;
import io.vanillapoint.entry.port.PublishedSource;
import io.vanillapoint.entry.traffic.EntryContext;
import io.vanillapoint.wire.FleetCodec;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Runs membership heartbeats and keeps this VM's copy of the store up to date. Confined to one
 * event loop.
 */
public final class EntryControl {
    private final PublishedState publishedState;
    private final StoreSync storeSync;
    private final StoreCopier storeCopier;
    private final ConfigurationCopier configurationCopier;
    private final FleetLink fleetLink;
    private final FleetCodec codec = new FleetCodec();

    /**
     * Creates a stopped instance.
     *
     * @param context services shared by all requests
     * @param publishedState published configuration and replicas in force
     * @param source client of the platform's store
     * @param reportSource builds this VM's heartbeats
     * @param reportListener called with each heartbeat received from another VM
     * @param awaitsConfiguration tells whether requests wait for a newer configuration
     */
    public EntryControl(
            EntryContext context,
            PublishedState publishedState,
            PublishedSource source,
            ReportSource reportSource,
            Consumer<FleetReport> reportListener,
            BooleanSupplier awaitsConfiguration) {
        this.publishedState = publishedState;
        storeSync =
                new StoreSync(
                        context.vertx(),
                        source,
                        publishedState,
                        context.log(),
                        context.errors(),
                        context.clock(),
                        () ->
                                StoreReaders.reads(
                                        context.fleet(),
                                        context.gate().receiveDelayMillis(),
                                        context.clock().getAsLong()),
                        () ->
                                new StoreVms(context.fleet())
                                        .anyReaderHeard(context.clock().getAsLong()));
        storeCopier =
                new StoreCopier(
                        context.fleet(),
                        publishedState,
                        storeSync,
                        context.vmClient(),
                        context.log(),
                        context.clock(),
                        context.peerPort(),
                        awaitsConfiguration);
        configurationCopier =
                new ConfigurationCopier(
                        context.fleet(),
                        publishedState,
                        context.vmClient(),
                        context.log(),
                        context.clock(),
                        context.peerPort());
        fleetLink =
                new FleetLink(
                        context.vertx(),
                        context.fleet(),
                        FleetTiming.DEFAULT,
                        context.log(),
                        context.errors(),
                        context.clock(),
                        context.peerPort(),
                        reportSource,
                        report -> {
                            reportListener.accept(report);
                            if (report.published().isAfter(publishedState.position())) {
                                storeCopier.copyIfBehind();
                            }
                            configurationCopier.copyOnceInEra();
                        },
                        () -> {
                            storeCopier.copyIfBehind();
                            configurationCopier.copyOnceInEra();
                        });
    }

    /**
     * Path on the peer port at which other VMs copy this VM's published values.
     *
     * @return absolute path
     */
    public static String publishedPath() {
        return StoreCopier.PATH;
    }

    /**
     * Starts sending heartbeats and reading the store.
     *
     * @param seeds IP addresses of the VMs to contact first
     * @return completed when the heartbeat socket is bound
     */
    public Future<Void> start(List<String> seeds) {
        storeSync.start();
        return fleetLink.start(seeds);
    }

    /**
     * Replaces the VMs to contact first.
     *
     * @param seeds IP addresses
     */
    public void seeds(List<String> seeds) {
        fleetLink.seeds(seeds);
    }

    /**
     * Time since the platform's store became unavailable.
     *
     * @return milliseconds, 0 while the store is available
     */
    public long storeUnavailableMillis() {
        return Math.max(0, storeSync.unavailableMillis());
    }

    /**
     * Tells whether this VM itself has had a recent response from the platform's store.
     *
     * @return false if the store is unavailable or if other VMs read it on behalf of this one
     */
    public boolean readsStore() {
        return storeSync.answeredRecently();
    }

    /** Sends a heartbeat to all VMs immediately, because this VM's state has changed. */
    public void announce() {
        fleetLink.sendToAll();
    }

    /**
     * Encodes the published values that another VM is missing.
     *
     * @param after store revision that the other VM has reached, as decimal text; missing or
     *     malformed text counts as 0
     * @param era era of that revision; missing from VMs of earlier builds
     * @return encoded changes after that revision
     */
    public Buffer publishedSince(String after, String era) {
        long revision = number(after).orElse(0);
        long eraNumber = number(era).orElse(publishedState.eraOfEarlierBuilds());
        StorePosition position = new StorePosition(eraNumber, revision);
        return Buffer.buffer(codec.encode(publishedState.since(position)));
    }

    /**
     * Path on the peer port at which other VMs copy the configuration in force.
     *
     * @return absolute path
     */
    public static String configurationPath() {
        return ConfigurationCopier.PATH;
    }

    /**
     * Encodes the configuration in force if another VM lacks it.
     *
     * @param newerThan version that the other VM has in force, as decimal text; missing or
     *     malformed text counts as 0
     * @return encoded configuration, no items if the other VM's is as new
     */
    public Buffer configurationInForce(String newerThan) {
        long version = number(newerThan).orElse(0);
        return Buffer.buffer(codec.encode(publishedState.configurationInForce(version)));
    }

    private static OptionalLong number(String text) {
        boolean isNumber = text != null && text.matches("\\d{1,18}");
        return isNumber ? OptionalLong.of(Long.parseLong(text)) : OptionalLong.empty();
    }
}
