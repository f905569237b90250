import java.io.IOException;
import java.io.InputStream;

/** A request of which only the head has been read. */
final class RawRequest {
    private final HttpMessage head;
    private final InputStream in;

    RawRequest(HttpMessage head, InputStream in) {
        this.head = head;
        this.in = in;
    }

    String id() {
        return head.header("request-id");
    }

    String target() {
        return head.startLine.split(" ")[1];
    }

    /** Head of an answer that ends with its connection. */
    String head(ReplicaServer replica) {
        return replica.head(head, "Connection: close\r\n"
                        + (replica.service.equals("model")
                                ? "Content-Type: text/event-stream\r\n"
                                : ""));
    }

    void readBody() throws IOException {
        in.skipNBytes(Long.parseLong(head.header("content-length")));
    }
}
