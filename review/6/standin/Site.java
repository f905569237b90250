import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A small deployment on loopback addresses: store, replicas, entry VMs as processes, a record. */
final class Site implements AutoCloseable {
    static final String HOST = "calls.example";
    static final String KEY = "i9n73hh2b9wu3fexd9dn";
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    final long startNanos = System.nanoTime();
    final StoreServer store;
    final Map<String, ReplicaServer> replicas = new LinkedHashMap<>();
    final List<Vm> vms = new ArrayList<>();
    final List<String> record = Collections.synchronizedList(new ArrayList<>());
    final Path work;
    final int base;
    final int net = 20 + (int) (ProcessHandle.current().pid() % 200);
    private volatile boolean closed;

    Site() throws Exception {
        work = Files.createTempDirectory("review");
        base = freeBase();
        store = new StoreServer(ip(9, 1));
        Thread beats = new Thread(this::heartbeats, "beats");
        beats.setDaemon(true);
        beats.start();
        // A run that is ended from outside leaves no entry VM behind.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> vms.forEach(Vm::kill)));
    }

    String ip(int zone, int host) {
        return "127." + net + "." + zone + "." + host;
    }

    long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    void note(String format, Object... values) {
        record.add(String.format("%7d ms  ", now()) + String.format(format, values));
    }

    private int freeBase() throws IOException {
        for (int port = 21_000 + (int) (ProcessHandle.current().pid() % 300) * 20; ; port += 20) {
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress(InetAddress.getByName(ip(1, 1)), port));
                return port;
            } catch (IOException e) {
                if (port > 30_000) {
                    throw e;
                }
            }
        }
    }

    ReplicaServer replica(String id, String service, String zone, int zoneNumber, int host)
            throws IOException {
        ReplicaServer replica =
                new ReplicaServer(this, id, service, zone, ip(zoneNumber, 100 + host));
        replicas.put(id, replica);
        store.put("servers/" + id, replica.entry());
        return replica;
    }

    private void heartbeats() {
        while (!closed) {
            try {
                Thread.sleep(1_200);
            } catch (InterruptedException e) {
                return;
            }
            for (ReplicaServer replica : List.copyOf(replicas.values())) {
                if (replica.registered) {
                    store.put("servers/" + replica.id, replica.entry());
                }
            }
        }
    }

    /** Starts an entry VM with the command of the deploy file. */
    Vm vm(String name, String zone, int zoneNumber, int host, String seeds) throws IOException {
        Vm vm = new Vm(this, name, zone, ip(zoneNumber, host), seeds);
        vms.add(vm);
        vm.start();
        return vm;
    }

    static String route(
            String name,
            String kind,
            String service,
            int attempts,
            int timeoutMillis,
            int targetMillis,
            boolean prompt,
            boolean resumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"prefix\":\"/" + name
                + "/\",\"kind\":\"" + kind + "\",\"timeoutMs\":" + timeoutMillis
                + ",\"targetLatencyMs\":" + targetMillis + ",\"priority\":1,\"service\":\""
                + service + "\",\"attempts\":" + attempts + ",\"public\":false,\"stickySessions\":"
                + prompt + ",\"resumable\":" + resumable
                + ",\"targetGapMs\":300,\"homeRegions\":[]}";
    }

    /** The routes of the sheet of satchel-serve, with its figures. */
    static String configuration(int version) {
        return "{\"version\":" + version + ",\"routes\":["
                + route("draft", "stream", "model", 2, 5000, 1000, true, true) + ","
                + route("question", "stream", "model", 1, 15000, 1200, true, false) + ","
                + route("booking", "unsafe", "orders", 1, 1500, 500, false, false) + ","
                + route("lookup", "safe", "orders", 2, 1500, 500, false, false)
                + "],\"services\":[{\"name\":\"model\",\"healthPath\":\"/health\","
                + "\"connectionLimit\":360,\"coldStartS\":3.0,\"coldPerS\":2.0,"
                + "\"engine\":{\"slots\":64,\"kvCacheTokens\":222918}},"
                + "{\"name\":\"orders\",\"healthPath\":\"/health\",\"connectionLimit\":96}],"
                + "\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,"
                + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
                + "\"tenants\":[{\"name\":\"huka270\",\"apiKeys\":[\"" + KEY + "\"],"
                + "\"priority\":1,\"unit\":\"tokens\",\"plainTokens\":200,"
                + "\"ratePerS\":10000000,\"burst\":10000000,\"homeRegions\":[]}]}";
    }

    boolean awaitReady(long millis) throws InterruptedException {
        long end = now() + millis;
        while (now() < end) {
            if (vms.stream().allMatch(Vm::ready)) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    void writeRecord(String folder) throws IOException {
        synchronized (record) {
            Files.write(Path.of(folder, "record.txt"), record);
        }
    }

    @Override
    public void close() {
        closed = true;
        vms.forEach(Vm::kill);
        replicas.values().forEach(ReplicaServer::close);
        store.close();
    }

    /** One entry VM. */
    static final class Vm {
        final Site site;
        final String name;
        final String ip;
        final Path settings;
        final Path log;
        volatile Process process;

        Vm(Site site, String name, String zone, String ip, String seeds) throws IOException {
            this.site = site;
            this.name = name;
            this.ip = ip;
            settings = site.work.resolve(name + ".json");
            log = site.work.resolve(name + ".log");
            int b = site.base;
            Files.writeString(
                    settings,
                    "{\"nodeName\":\"" + name + "\",\"role\":\"entry\",\"machineClass\":\"front\","
                            + "\"ip\":\"" + ip + "\",\"zone\":\"" + zone + "\",\"region\":\""
                            + region(zone) + "\",\"zones\":{\"erie-west-a\":\"erie-west\","
                            + "\"huron-north-a\":\"huron-north\","
                            + "\"michigan-east-a\":\"michigan-east\"},"
                            + "\"listenAddresses\":{\"front\":\"" + ip + ":" + (b + 1)
                            + "\",\"ready\":\"" + ip + ":" + (b + 4) + "\",\"control\":\"" + ip
                            + ":" + (b + 9) + "\",\"directory\":\"" + ip + ":" + b
                            + "\"},\"internalPorts\":[" + (b + 10) + "," + (b + 19)
                            + "],\"seeds\":[" + seeds.replace("PORT", "" + (b + 9))
                            + "],\"firstStart\":true,\"limits\":{\"cpuShare\":0.75,\"cores\":1,"
                            + "\"memoryMb\":430,\"fileDescriptors\":4100,\"linkMbps\":1000.0},"
                            + "\"heartbeatMs\":1200,\"bounds\":{\"contactMs\":5000,"
                            + "\"drainMs\":3000,\"graceS\":8,\"retryBudgetRatio\":0.2,"
                            + "\"budgetWindowS\":10,\"retryBudgetSlack\":52,"
                            + "\"quotaWindowS\":8,\"quotaSlack\":110000},"
                            + "\"platform\":{\"address\":\"" + site.store.address()
                            + "\",\"form\":\"read\",\"readsPerS\":2000,\"historyS\":20,"
                            + "\"valueBytes\":1048576}}");
        }

        private static String region(String zone) {
            return zone.substring(0, zone.length() - 2);
        }

        void start() throws IOException {
            String run = "";
            for (String line : Files.readAllLines(Path.of("deploy", "system.toml"))) {
                if (line.startsWith("run = ")) {
                    run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                }
            }
            List<String> command = new ArrayList<>(Arrays.asList(run.split(" ")));
            command.set(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().put("VANILLAPOINT_NODE_FILE", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            site.note("%s started at %s", name, ip);
        }

        InetSocketAddress front() {
            return new InetSocketAddress(ip, site.base + 1);
        }

        /** True once the VM answers its readiness call with 200. */
        boolean ready() {
            try {
                java.net.HttpURLConnection call =
                        (java.net.HttpURLConnection)
                                new java.net.URL(
                                                "http://" + ip + ":" + (site.base + 4)
                                                        + "/-/readiness")
                                        .openConnection();
                call.setConnectTimeout(500);
                call.setReadTimeout(1_000);
                return call.getResponseCode() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void signal(String signal) throws Exception {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .inheritIO()
                    .start()
                    .waitFor();
        }

        void kill() {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
