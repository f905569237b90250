import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A replica on raw sockets, one thread for each connection. */
final class ReplicaServer implements AutoCloseable {
    /** Writes an answer to a request that runs. */
    interface Behaviour {
        void answer(ReplicaServer replica, HttpMessage request, Socket socket) throws Exception;
    }

    /** Answers a request before its body has been read. */
    interface Early {
        void answer(ReplicaServer replica, RawRequest request, Socket socket) throws Exception;
    }

    /** Receive buffer of each connection, 0 for the default of the kernel. */
    private static final int RECEIVE_BUFFER_BYTES = Integer.getInteger("receiveBuffer", 0);

    final Site site;
    final String id;
    final String service;
    final String zone;
    final long born = System.currentTimeMillis();
    final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    volatile Behaviour behaviour;
    volatile Early early;
    volatile boolean registered = true;
    volatile String state = "ready";
    volatile int events = 10;
    volatile int firstEventMillis = 240;
    volatile int gapMillis = 40;
    volatile int workMillis = 60;
    private final ServerSocket server;
    private final AtomicInteger sequence = new AtomicInteger();
    private final AtomicInteger running = new AtomicInteger();

    ReplicaServer(Site site, String id, String service, String zone, String ip) throws IOException {
        this.site = site;
        this.id = id;
        this.service = service;
        this.zone = zone;
        behaviour = service.equals("model") ? ReplicaServer::stream : ReplicaServer::plain;
        server = new ServerSocket();
        if (RECEIVE_BUFFER_BYTES > 0) {
            server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        }
        server.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 200);
        Thread thread = new Thread(this::accept, "replica-" + id);
        thread.setDaemon(true);
        thread.start();
    }

    String entry() {
        return "{\"service\":\"" + service + "\",\"address\":\""
                + server.getInetAddress().getHostAddress() + ":" + server.getLocalPort()
                + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":"
                + (service.equals("model") ? 64 : 6) + ",\"state\":\"" + state
                + "\",\"coldRemainingMs\":0,\"sequence\":" + sequence.incrementAndGet()
                + ",\"born\":" + born
                + (service.equals("model")
                        ? ",\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,"
                                + "\"adapters\":[]}]}"
                        : "}");
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                Thread thread = new Thread(() -> serve(socket), "at-" + id);
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                HttpMessage request = HttpMessage.readHead(in);
                if (request == null) {
                    return;
                }
                if (early != null && request.header("request-id") != null) {
                    recordRun(request);
                    early.answer(this, new RawRequest(request, in), socket);
                    return;
                }
                request.readBody(in, false);
                if (!handle(request, socket)) {
                    return;
                }
            }
        } catch (Exception e) {
            // The connection has ended.
        }
    }

    private boolean handle(HttpMessage request, Socket socket) throws Exception {
        String target = request.startLine.split(" ")[1];
        String expected = request.header("expect-instance");
        String requestId = request.header("request-id");
        String idLine = requestId == null ? "" : "Request-Id: " + requestId + "\r\n";
        if (target.equals("/-/report")) {
            String body =
                    "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                            + "\"busy\":false,\"sequence\":0,\"queuedRequests\":0,"
                            + "\"runningRequests\":" + running.get() + ",\"kvCacheUsed\":0,"
                            + "\"kvCacheTotal\":222918,\"handles\":0,\"born\":" + born + "}";
            write(socket, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                    + body.length() + "\r\n\r\n" + body);
            return true;
        }
        if (target.equals("/health")) {
            write(socket, "HTTP/1.1 200 OK\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        if (expected != null && !expected.equals(id)) {
            write(socket, "HTTP/1.1 421 Misdirected\r\n" + idLine + "Content-Length: 0\r\n\r\n");
            return true;
        }
        recordRun(request);
        running.incrementAndGet();
        try {
            behaviour.answer(this, request, socket);
        } finally {
            running.decrementAndGet();
        }
        return true;
    }

    private void recordRun(HttpMessage request) {
        String requestId = request.header("request-id");
        runs.computeIfAbsent(requestId, unused -> new AtomicInteger()).incrementAndGet();
        site.note("%s runs %s %s", id, requestId, request.startLine.split(" ")[1]);
    }

    static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    String head(HttpMessage request, String rest) {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("request-id")
                + "\r\nResponse-Signature: 3e1b.07." + id + "\r\nServer-Load: " + running.get()
                + ",0," + (service.equals("model") ? 64 : 6) + "\r\n" + rest + "\r\n";
    }

    static String chunk(String data) {
        return Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
    }

    static String event(int number) {
        return "id: " + number + "\ndata: piece " + number + "\n\n";
    }

    /** A sound plain answer. */
    void plain(HttpMessage request, Socket socket) throws Exception {
        Thread.sleep(workMillis);
        String body = "answer to " + request.header("request-id");
        write(socket, head(request, "Content-Length: " + body.length() + "\r\n") + body);
    }

    /** A sound stream, which goes on at Last-Event-Id. */
    void stream(HttpMessage request, Socket socket) throws Exception {
        String last = request.header("last-event-id");
        int first = last == null ? 1 : Integer.parseInt(last) + 1;
        Thread.sleep(firstEventMillis);
        write(socket, streamHead(request));
        for (int number = first; number <= events; number++) {
            write(socket, chunk(event(number)));
            Thread.sleep(gapMillis);
        }
        write(socket, "0\r\n\r\n");
    }

    String streamHead(HttpMessage request) {
        return head(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
    }

    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException e) {
            // Nothing is left to close.
        }
    }
}
