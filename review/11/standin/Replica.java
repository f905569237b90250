import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A model replica: registers in the store, answers streams, may crash and come back cold. */
class Replica {
    static final int SLOTS = 64;
    static final long COLD_MILLIS = 3_000;
    private static final AtomicInteger NUMBER = new AtomicInteger(1);

    final Deployment deployment;
    final String service;
    final String region;
    final String ip;
    final int port;
    volatile String id;
    volatile long born;
    volatile boolean up;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final AtomicInteger running = new AtomicInteger();
    private ServerSocket server;
    /** Time from the arrival of a request to its first event. */
    long prefillMillis = 120;
    int events = 10;
    long eventMillis = 20;

    Replica(Deployment deployment, String service, String region, String ip) throws IOException {
        this.deployment = deployment;
        this.service = service;
        this.region = region;
        this.ip = ip;
        port = Deployment.freePort();
    }

    synchronized void start(boolean cold) throws IOException {
        id = "i-%04x".formatted(NUMBER.getAndIncrement());
        born = System.currentTimeMillis();
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 200);
        up = true;
        ServerSocket listening = server;
        Threads.start("replica", () -> accept(listening));
        publish("ready", cold ? COLD_MILLIS : 0);
    }

    boolean publish(String state, long coldMillis) {
        return deployment.store.put(
                "servers/" + id,
                """
                {"service":"%s","address":"%s:%d","zone":"%s-a","version":"v1","slots":%d,"state":"%s",
                 "coldRemainingMs":%d,"sequence":1,"born":%d,"stage":"both",
                 "models":[{"name":"m","version":1,"adapters":[]}]}"""
                        .formatted(service, ip, port, region, SLOTS, state, coldMillis, born));
    }

    /** All connections are reset, and the port is closed. Its entry lapses after three heartbeats. */
    synchronized void crash() {
        if (!up) {
            return;
        }
        up = false;
        String crashed = id;
        deployment.record.add("CRASH of replica " + id);
        try {
            server.close();
        } catch (IOException e) {
            // It is closed.
        }
        for (Socket socket : connections) {
            reset(socket);
        }
        Threads.start(
                "lapse",
                () -> {
                    Threads.sleep(3_600);
                    deployment.store.remove("servers/" + crashed);
                });
    }

    void restartAfter(long millis) {
        Threads.start(
                "restart",
                () -> {
                    Threads.sleep(millis);
                    start(true);
                    deployment.record.add("replica " + id + " has started, cold");
                });
    }

    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }

    private void accept(ServerSocket listening) throws IOException {
        while (true) {
            Socket socket = listening.accept();
            Threads.start("replica connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        connections.add(socket);
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                byte[] body = Http.readBody(in, head);
                if (body == null || !up) {
                    return;
                }
                String expected = head.field("expect-instance");
                String target = head.firstLine().split(" ")[1];
                if (expected != null && !expected.equals(id)) {
                    write(out, 421, "Not-Executed: 1\r\nInstance-Id: " + id + "\r\n", "");
                } else if (target.equals("/health")) {
                    String cold = "Cold-Remaining: " + coldRemainingMillis() + "\r\n";
                    write(out, 200, "Instance-Id: " + id + "\r\n" + cold, "");
                } else if (target.equals("/-/report")) {
                    write(out, 200, "Content-Type: application/json\r\n", report());
                } else {
                    running.incrementAndGet();
                    try {
                        run(head, body, socket, out);
                    } finally {
                        running.decrementAndGet();
                    }
                }
            }
        } finally {
            connections.remove(socket);
        }
    }

    /** What the answers to health checks say. */
    long coldRemainingMillis() {
        return 0;
    }

    private String report() {
        return "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,"
                + "\"sequence\":1,\"queuedRequests\":0,\"runningRequests\":"
                + running.get()
                + ",\"kvCacheUsed\":1000,\"kvCacheTotal\":222918,\"handles\":0,\"born\":"
                + born
                + "}";
    }

    /** Runs a request; a sub-class may do something else. */
    void run(Http.Head head, byte[] body, Socket socket, OutputStream out) throws Exception {
        String request = head.field("request-id");
        deployment.record.add("replica " + id + " runs " + request);
        if (head.field("model") == null) {
            Threads.sleep(prefillMillis);
            write(out, 200, signed(request), "answer to " + request);
            return;
        }
        Threads.sleep(prefillMillis);
        writeHead(out, request);
        long last = head.field("last-event-id") == null ? 0 : Long.parseLong(head.field("last-event-id"));
        for (long event = last + 1; event <= events; event++) {
            chunk(out, "id: " + event + "\ndata: token " + event + " of " + request + "\n\n");
            Threads.sleep(eventMillis);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }

    final String signed(String request) {
        return "Request-Id: "
                + request
                + "\r\nResponse-Signature: s."
                + id
                + "\r\nServer-Load: "
                + running.get()
                + ",0,"
                + SLOTS
                + "\r\n";
    }

    final void writeHead(OutputStream out, String request) throws IOException {
        String head =
                "HTTP/1.1 200 OK\r\n"
                        + signed(request)
                        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
    }

    static void chunk(OutputStream out, String text) throws IOException {
        String chunk = Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
        out.write(chunk.getBytes(StandardCharsets.ISO_8859_1));
    }

    static void write(OutputStream out, int status, String fields, String body) throws IOException {
        String text =
                "HTTP/1.1 " + status + " X\r\n" + fields + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
