package io.vanillapoint.server.traffic;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.model.Customer;
import io.vanillapoint.api.model.UpstreamKind;
import io.vanillapoint.api.model.VmId;
import io.vanillapoint.api.plugin.RequestPlan;
import io.vanillapoint.core.message.ForwardCancel;
import io.vanillapoint.core.message.ForwardCredit;
import io.vanillapoint.core.message.ForwardRequest;
import io.vanillapoint.core.message.Hop;
import io.vanillapoint.core.message.PeerHello;
import io.vanillapoint.core.message.PeerMessage;
import io.vanillapoint.core.routing.RouteGuard;
import io.vanillapoint.server.peer.FrameSocket;
import io.vanillapoint.server.protocol.FixedCostMeter;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A connection accepted from another VM. Control messages are handed to the control thread;
 * forwarded requests run on this event loop. Confined to one event loop.
 */
final class PeerConnection {
    /** Longest time until the other side says which VM it is. */
    private static final long HELLO_MILLIS = 5_000;

    private final TrafficContext context;
    private final FrameSocket socket;
    private final Map<Long, PeerSink> sinks = new HashMap<>();
    private VmId peer;

    PeerConnection(Vertx vertx, TrafficContext context, FrameSocket socket) {
        this.context = context;
        this.socket = socket;
        socket.receiver(this::onMessage);
        long timer = vertx.setTimer(HELLO_MILLIS, ignored -> closeIfUnknown());
        socket.closeHandler(
                () -> {
                    vertx.cancelTimer(timer);
                    onClosed();
                });
    }

    private void closeIfUnknown() {
        if (peer == null) {
            context.metrics().connectionClosed("peers", "no_hello");
            socket.close();
        }
    }

    private void onMessage(PeerMessage message) {
        if (message instanceof PeerHello hello) {
            peer = hello.vm();
        } else if (peer == null) {
            socket.close();
        } else if (message instanceof ForwardRequest request) {
            forward(request);
        } else if (message instanceof ForwardCancel cancel) {
            Optional.ofNullable(sinks.get(cancel.stream())).ifPresent(PeerSink::onClosed);
        } else if (message instanceof ForwardCredit credit) {
            Optional.ofNullable(sinks.get(credit.stream()))
                    .ifPresent(sink -> sink.addCredit(credit.bytes()));
        } else {
            context.control()
                    .receive(peer, message)
                    .onSuccess(reply -> reply.ifPresent(this::sendReply))
                    .onFailure(
                            error ->
                                    context.events()
                                            .record(
                                                    EventCode.INTERNAL_ERROR,
                                                    "handling a message of " + peer,
                                                    error));
        }
    }

    private void sendReply(PeerMessage reply) {
        socket.countSent(context.metrics()::countControlFrame);
        socket.send(reply);
        socket.countSent(bytes -> {});
    }

    private void forward(ForwardRequest message) {
        PeerSink sink = new PeerSink(socket, message.stream());
        Customer customer = null;
        if (message.customer() != null) {
            customer = context.control().config().customers().get(message.customer());
            if (customer == null) {
                String text = "customer " + message.customer() + " is not known here";
                sink.fail(new VanillapointException(ErrorCode.NOT_GRANTED, "peer", text));
                return;
            }
        }
        Hop thisHop = new Hop(context.settings().vm(), context.settings().region());
        Optional<VanillapointException> refusal =
                RouteGuard.checkReceiving(customer, message.path(), thisHop.vm(), thisHop.region());
        if (refusal.isPresent()) {
            sink.fail(refusal.get());
            return;
        }
        RunRequest request =
                new RunRequest(
                        peer + "/" + message.stream(),
                        null,
                        customer,
                        plan(message, customer),
                        message.method(),
                        message.headers(),
                        message.path().append(thisHop),
                        null);
        sinks.put(message.stream(), sink);
        new RequestExecution(context, request, new FixedCostMeter(), sink)
                .start()
                .onComplete(done -> sinks.remove(message.stream()));
    }

    /**
     * Reserves no tokens: the VM that received the caller's request has reserved them and meters
     * their use.
     */
    private static RequestPlan plan(ForwardRequest message, Customer customer) {
        return new RequestPlan(
                message.target().kind(),
                message.target().name(),
                message.uri(),
                message.body(),
                customer == null,
                message.repeatable(),
                0,
                message.target().name(),
                message.target().kind() == UpstreamKind.SERVICE);
    }

    private void onClosed() {
        new ArrayList<>(sinks.values()).forEach(PeerSink::onClosed);
    }
}
