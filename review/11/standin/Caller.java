import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's single attempt on a connection of its own. */
final class Caller {
    /** Status 0 means that the connection ended without a complete answer. */
    record Answer(int status, boolean signed, String body, String problem) {}

    private Caller() {}

    static Answer get(String ip, int port, String target, int timeoutMillis) {
        return send(ip, port, "GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n", timeoutMillis);
    }

    static Answer send(String ip, int port, String request, int timeoutMillis) {
        long end = System.nanoTime() + timeoutMillis * 1_000_000L;
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(ip, port), 1_000);
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            Http.Head head = Http.readHead(in);
            if (head == null) {
                return new Answer(0, false, "", "closed without an answer");
            }
            socket.setSoTimeout((int) Math.max(1, (end - System.nanoTime()) / 1_000_000));
            int status = Integer.parseInt(head.firstLine().split(" ")[1]);
            boolean signed = head.field("response-signature") != null;
            byte[] body = Http.readBody(in, head);
            return body == null
                    ? new Answer(0, signed, "", "cut off in the answer, status " + status)
                    : new Answer(status, signed, new String(body, StandardCharsets.ISO_8859_1), "");
        } catch (IOException e) {
            return new Answer(0, false, "", e.toString());
        }
    }
}
