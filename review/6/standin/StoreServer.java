import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The platform's store: reads, pages and watches of one linear history. */
final class StoreServer implements AutoCloseable {
    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final TreeMap<String, String> items = new TreeMap<>();
    private final List<String[]> history = new ArrayList<>();
    private long revision = 1;

    StoreServer(String ip) throws IOException {
        server = HttpServer.create(new InetSocketAddress(ip, 0), 64);
        server.createContext("/", this::handle);
        server.setExecutor(threads);
        server.start();
    }

    String address() {
        return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
    }

    synchronized void put(String key, String value) {
        revision++;
        String item =
                "{\"key\":\"" + key + "\",\"value\":\""
                        + Base64.getEncoder()
                                .encodeToString(value.getBytes(StandardCharsets.UTF_8))
                        + "\",\"revision\":" + revision + ",\"createRevision\":" + revision
                        + ",\"lease\":0}";
        items.put(key, item);
        history.add(new String[] {key, Long.toString(revision), item});
        notifyAll();
    }

    synchronized void remove(String key) {
        revision++;
        items.remove(key);
        history.add(
                new String[] {
                    key,
                    Long.toString(revision),
                    "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"removed\":true}"
                });
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        for (String part : raw == null ? new String[0] : raw.split("&")) {
            int equals = part.indexOf('=');
            query.put(
                    part.substring(0, equals),
                    URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
        }
        String path = exchange.getRequestURI().getPath();
        String prefix = query.getOrDefault("prefix", "");
        String body;
        if (path.equals("/-/kv-range")) {
            body = range(prefix, query.getOrDefault("after", ""));
        } else if (path.equals("/-/kv-watch")) {
            body =
                    watch(
                            prefix,
                            Long.parseLong(query.get("after")),
                            Long.parseLong(query.getOrDefault("waitMs", "0")));
        } else {
            exchange.sendResponseHeaders(404, -1);
            exchange.close();
            return;
        }
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().add("Content-Type", "application/json");
        exchange.getResponseHeaders().add("Store-Era", "1");
        exchange.sendResponseHeaders(200, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private synchronized String range(String prefix, String after) {
        List<String> found = new ArrayList<>();
        items.forEach(
                (key, item) -> {
                    if (key.startsWith(prefix) && key.compareTo(after) > 0) {
                        found.add(item);
                    }
                });
        return "{\"items\":[" + String.join(",", found) + "],\"hasMore\":false,\"asOf\":" + revision
                + "}";
    }

    private synchronized String watch(String prefix, long after, long waitMillis) {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            List<String> events = new ArrayList<>();
            for (String[] change : history) {
                if (Long.parseLong(change[1]) > after && change[0].startsWith(prefix)) {
                    events.add(change[2]);
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                return "{\"events\":[" + String.join(",", events) + "],\"asOf\":" + revision + "}";
            }
            try {
                wait(left);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return "{\"events\":[],\"asOf\":" + revision + "}";
            }
        }
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
