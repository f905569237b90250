package io.vanillapoint.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.kohsuke.args4j.Option;

/**
 * Stand-in for the platform's configuration service. Values are JSON files below a folder; the key
 * is the relative path of a file without its extension. A changed file gets a new revision. Reads
 * may wait for a change (long polling). Confined to one event loop.
 */
final class PlatformStandin {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String FILE_EXTENSION = ".json";
    private static final long SCAN_MILLIS = 100;

    private final Vertx vertx;
    private final Path folder;
    private final Map<String, Value> values = new TreeMap<>();
    private final List<PendingRead> pendingReads = new ArrayList<>();
    private long revision;

    private PlatformStandin(Vertx vertx, Path folder) {
        this.vertx = vertx;
        this.folder = folder;
    }

    static void main(String[] args) {
        Options options = Flags.read(new Options(), args);
        Vertx vertx = Vertx.vertx();
        PlatformStandin platform = new PlatformStandin(vertx, Path.of(options.folder));
        platform.scan();
        vertx.createHttpServer()
                .requestHandler(platform::handle)
                .listen(options.port, options.host)
                .onFailure(error -> System.exit(1));
        vertx.setPeriodic(SCAN_MILLIS, timer -> platform.scan());
    }

    private void handle(HttpServerRequest request) {
        if (!request.path().equals("/v1/values")) {
            request.response().setStatusCode(404).end();
            return;
        }
        long since = Long.parseLong(request.getParam("since", "0"));
        long waitSeconds = Long.parseLong(request.getParam("wait", "0"));
        if (revision > since || waitSeconds == 0) {
            answer(request, since);
            return;
        }
        PendingRead entry = new PendingRead(request, since);
        pendingReads.add(entry);
        vertx.setTimer(
                waitSeconds * 1_000,
                timer -> {
                    if (pendingReads.remove(entry)) {
                        answer(request, since);
                    }
                });
    }

    private void answer(HttpServerRequest request, long since) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("revision", revision);
        ArrayNode list = body.putArray("values");
        values.forEach(
                (key, value) -> {
                    if (value.revision > since) {
                        ObjectNode node = list.addObject();
                        node.put("key", key);
                        node.put("revision", value.revision);
                        node.set("value", value.json);
                    }
                });
        request.response().putHeader("content-type", "application/json").end(body.toString());
    }

    private void scan() {
        boolean changed = false;
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : (Iterable<Path>) files.sorted()::iterator) {
                if (file.toString().endsWith(FILE_EXTENSION)) {
                    changed |= read(file);
                }
            }
        } catch (IOException e) {
            System.err.println("cannot read the values folder: " + e.getMessage());
        }
        if (changed) {
            answerPendingReads();
        }
    }

    private boolean read(Path file) {
        String name = folder.relativize(file).toString();
        String key = name.substring(0, name.length() - FILE_EXTENSION.length());
        try {
            JsonNode json = MAPPER.readTree(Files.readString(file));
            Value known = values.get(key);
            if (json.isMissingNode() || (known != null && known.json.equals(json))) {
                return false;
            }
            revision++;
            values.put(key, new Value(revision, json));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void answerPendingReads() {
        Iterator<PendingRead> iterator = pendingReads.iterator();
        while (iterator.hasNext()) {
            PendingRead entry = iterator.next();
            iterator.remove();
            answer(entry.request, entry.since);
        }
    }

    /** A value with the revision of its last change. */
    private record Value(long revision, JsonNode json) {}

    /** A long poll that waits for a change. */
    private record PendingRead(HttpServerRequest request, long since) {}

    /** Flags. */
    private static final class Options {
        @Option(name = "--host", usage = "address to listen on")
        private String host = "127.0.0.1";

        @Option(name = "--port", required = true, usage = "port to listen on")
        private int port;

        @Option(name = "--folder", required = true, usage = "folder with the values as JSON files")
        private String folder = "";
    }
}
