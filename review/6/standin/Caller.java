import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;

/** A client that sends one request at a time on a kept connection. */
final class Caller implements AutoCloseable {
    private final Site site;
    private final Site.Vm vm;
    private Socket socket;
    private InputStream in;

    Caller(Site site, Site.Vm vm) {
        this.site = site;
        this.vm = vm;
    }

    static String newId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    /** What a client saw: a status, or 0 and how the connection ended. */
    record Result(String id, int status, String body, String signature, String end, long millis) {}

    Result stream(String route, int deadlineMillis) {
        String id = newId();
        int session = ThreadLocalRandom.current().nextInt(200);
        return send(
                id,
                "POST /" + route + "/2f HTTP/1.1\r\nHost: " + Site.HOST + "\r\nRequest-Id: " + id
                        + "\r\nModel: m\r\nToken-Counts: 9190,80\r\nPrompt-Prefix: 5c1e07a2:2520,"
                        + String.format("%08x", 0x91bd0000 + session) + ":3780,"
                        + id.substring(0, 8) + ":2890\r\nDeadline-Remaining: " + deadlineMillis
                        + "\r\nKey: " + Site.KEY + "\r\nContent-Length: 11\r\n\r\nhello world",
                deadlineMillis);
    }

    Result plain(String method, String route, int deadlineMillis) {
        String id = newId();
        String body = method.equals("GET") ? "" : "order 1";
        return send(
                id,
                method + " /" + route + "/2f HTTP/1.1\r\nHost: " + Site.HOST + "\r\nRequest-Id: "
                        + id + "\r\nDeadline-Remaining: " + deadlineMillis + "\r\nKey: " + Site.KEY
                        + (body.isEmpty() ? "" : "\r\nContent-Length: " + body.length())
                        + "\r\n\r\n" + body,
                deadlineMillis);
    }

    Result send(String id, String text, int deadlineMillis) {
        long start = site.now();
        Result result;
        try {
            if (socket == null) {
                socket = new Socket();
                socket.setTcpNoDelay(true);
                socket.connect(vm.front(), 1_000);
                in = new BufferedInputStream(socket.getInputStream());
            }
            socket.setSoTimeout(deadlineMillis);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            HttpMessage answer = HttpMessage.read(in, true);
            if (answer == null) {
                result = new Result(id, 0, "", null, "closed without an answer", site.now() - start);
                close();
            } else {
                result =
                        new Result(
                                id,
                                answer.status(),
                                answer.body,
                                answer.header("response-signature"),
                                "complete",
                                site.now() - start);
                if ("close".equalsIgnoreCase(answer.header("connection"))) {
                    close();
                }
            }
        } catch (SocketTimeoutException e) {
            result = new Result(id, 0, "", null, "no answer within the deadline", site.now() - start);
            close();
        } catch (IOException e) {
            result = new Result(id, 0, "", null, "broken: " + e.getMessage(), site.now() - start);
            close();
        }
        site.note(
                "caller at %s: %s %s -> %d %s after %d ms, %d bytes",
                vm.name,
                id,
                text.substring(0, text.indexOf('\r')),
                result.status,
                result.end,
                result.millis,
                result.body.length());
        return result;
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // It is closed.
        }
        socket = null;
    }
}
