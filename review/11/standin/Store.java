import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The platform's store: ranges in pages, watches, and the return from an older copy. */
final class Store {
    private static final int PAGE_ITEMS = 400;
    private static final int PAGE_BYTES = 1_000_000;
    private static final String GONE = "gone";

    /** A value as it was written, or a removal; with its JSON text. */
    private record Item(String key, long revision, boolean removed, String json) {}

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private final ServerSocket server;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private long revision = 100;
    private int era = 1;
    private boolean away;

    Store(String host, int port) throws IOException {
        server = new ServerSocket(port, 200, InetAddress.getByName(host));
        Threads.start("store", this::accept);
    }

    /** Writes a value; false while the store is away. */
    synchronized boolean put(String key, String value) {
        if (away) {
            return false;
        }
        change(item(key, ++revision, value));
        items.put(key, history.get(history.size() - 1));
        return true;
    }

    synchronized void remove(String key) {
        if (!away && items.remove(key) != null) {
            change(item(key, ++revision, null));
        }
    }

    synchronized long revision() {
        return revision;
    }

    /** Rises by one with each return from a copy. */
    synchronized int era() {
        return era;
    }

    /** Resets all connections, and each new one, until the return. */
    synchronized void away() {
        away = true;
        connections.forEach(Replica::reset);
        notifyAll();
    }

    /** Returns with all that it has acknowledged. */
    synchronized void back() {
        away = false;
    }

    /** Returns with what had been written up to a revision. */
    synchronized void returnFromCopy(long copyRevision) {
        history.removeIf(item -> item.revision > copyRevision);
        items.clear();
        for (Item item : history) {
            if (item.removed) {
                items.remove(item.key);
            } else {
                items.put(item.key, item);
            }
        }
        revision = copyRevision;
        era++;
        away = false;
    }

    private void change(Item item) {
        history.add(item);
        notifyAll();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            Threads.start("store connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        connections.add(socket);
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = socket.getInputStream();
            OutputStream out = socket.getOutputStream();
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                String target = head.firstLine().split(" ")[1];
                Thread.sleep(4);
                String body = answer(target);
                int answerEra;
                synchronized (this) {
                    if (away) {
                        Replica.reset(socket);
                        return;
                    }
                    answerEra = era;
                }
                int status = GONE.equals(body) ? 410 : body == null ? 404 : 200;
                byte[] bytes = (body == null ? "{}" : body).getBytes(StandardCharsets.UTF_8);
                String text =
                        "HTTP/1.1 "
                                + status
                                + " X\r\nContent-Type: application/json\r\nStore-Era: "
                                + answerEra
                                + "\r\nContent-Length: "
                                + bytes.length
                                + "\r\n\r\n";
                out.write(text.getBytes(StandardCharsets.ISO_8859_1));
                out.write(bytes);
                out.flush();
            }
        } finally {
            connections.remove(socket);
        }
    }

    private String answer(String target) throws InterruptedException {
        int mark = target.indexOf('?');
        String path = mark < 0 ? target : target.substring(0, mark);
        Map<String, String> query = new HashMap<>();
        for (String pair : mark < 0 ? new String[0] : target.substring(mark + 1).split("&")) {
            int equals = pair.indexOf('=');
            query.put(
                    pair.substring(0, equals),
                    URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return switch (path) {
            case "/-/kv-range" -> range(query.getOrDefault("prefix", ""), query.getOrDefault("after", ""));
            case "/-/kv-watch" ->
                    watch(
                            query.getOrDefault("prefix", ""),
                            Long.parseLong(query.get("after")),
                            Long.parseLong(query.get("waitMs")));
            default -> null;
        };
    }

    private synchronized String range(String prefix, String after) {
        StringBuilder list = new StringBuilder();
        int count = 0;
        boolean more = false;
        for (Item item : items.tailMap(after, after.isEmpty()).values()) {
            if (item.key.startsWith(prefix)) {
                if (count == PAGE_ITEMS || count > 0 && list.length() + item.json.length() > PAGE_BYTES) {
                    more = true;
                    break;
                }
                list.append(count++ == 0 ? "" : ",").append(item.json);
            }
        }
        return "{\"items\":[" + list + "],\"hasMore\":" + more + ",\"asOf\":" + revision + "}";
    }

    private synchronized String watch(String prefix, long after, long waitMillis)
            throws InterruptedException {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            if (after > revision) {
                return GONE;
            }
            StringBuilder list = new StringBuilder();
            long asOf = revision;
            for (Item item : history) {
                if (item.revision > after && item.key.startsWith(prefix)) {
                    if (list.length() + item.json.length() > PAGE_BYTES && !list.isEmpty()) {
                        break;
                    }
                    asOf = item.revision;
                    list.append(list.isEmpty() ? "" : ",").append(item.json);
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (away || !list.isEmpty() || left <= 0) {
                return "{\"events\":[" + list + "],\"asOf\":" + asOf + "}";
            }
            wait(left);
        }
    }

    private static Item item(String key, long revision, String value) {
        String start = "{\"key\":\"" + key + "\",\"revision\":" + revision + ",";
        if (value == null) {
            return new Item(key, revision, true, start + "\"removed\":true}");
        }
        String text =
                Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        String json =
                start + "\"value\":\"" + text + "\",\"createRevision\":" + revision + ",\"lease\":0}";
        return new Item(key, revision, false, json);
    }
}
