package io.vanillapoint.entry.traffic;

import io.vanillapoint.core.message.HeaderField;
import io.vanillapoint.entry.port.RequestEnvelope;
import io.vanillapoint.entry.port.RequestFormat;
import io.vanillapoint.entry.port.ResponseEnvelope;
import io.vanillapoint.entry.port.UpstreamCall;
import io.vertx.core.MultiMap;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/** Format stub that writes no headers and signs every response. Stateless. */
public final class StubRequestFormat implements RequestFormat {
    @Override
    public RequestEnvelope request(MultiMap headers) {
        throw new UnsupportedOperationException("tests build their requests directly");
    }

    @Override
    public void writeCall(UpstreamCall call, MultiMap headers) {}

    @Override
    public List<HeaderField> relayHeaders(RequestEnvelope request, OptionalLong lastEventId) {
        return List.of();
    }

    @Override
    public ResponseEnvelope response(int status, MultiMap headers) {
        return new ResponseEnvelope(
                status,
                Optional.empty(),
                false,
                true,
                false,
                false,
                OptionalLong.empty(),
                OptionalInt.empty(),
                Optional.empty(),
                List.of(),
                List.of());
    }
}
