import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** A small deployment: settings, configuration and processes, like those of the users' small sites. */
final class Deployment implements AutoCloseable {
    static final String HOST = "calls.example";
    static final String KEY = "key-of-tenant-one";
    static final List<String> REGIONS = List.of("erie-west", "huron-north", "michigan-east");

    final Record record = new Record();
    final Store store;
    final List<EntryVm> vms = new ArrayList<>();
    final Random random = new Random(1);
    private final Path root;
    private final Path folder;
    private final String net;
    private final int storePort;
    private final EntryVm.Ports ports;

    /** Chooses free ports and starts the store. */
    Deployment(Path root) throws IOException {
        this.root = root;
        folder = Files.createTempDirectory("review-3-");
        net = "127." + (20 + new Random().nextInt(200)) + ".";
        storePort = freePort();
        ports = new EntryVm.Ports(freePort(), freePort(), freePort(), freePort(), freePort());
        store = new Store(ip(9, 1), storePort);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    String ip(int third, int fourth) {
        return net + third + "." + fourth;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Starts VMs, so many in each region. */
    void startVms(int... counts) throws IOException {
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < counts.length; i++) {
            seeds.add("\"" + ip(i + 1, 10) + ":" + ports.control() + "\"");
        }
        for (int i = 0; i < counts.length; i++) {
            for (int j = 0; j < counts[i]; j++) {
                String region = REGIONS.get(i);
                String name = "front-" + region + "-a-" + (j + 1);
                String address = ip(i + 1, 10 + j);
                String text = settings(name, address, region, seeds);
                EntryVm vm =
                        new EntryVm(root, folder, name, address, region + "-a", region, ports, text);
                vms.add(vm);
                vm.start();
            }
        }
    }

    private String settings(String name, String address, String region, List<String> seeds) {
        String zones =
                REGIONS.stream()
                        .map(each -> "\"" + each + "-a\":\"" + each + "\"")
                        .collect(Collectors.joining(","));
        return """
            {"nodeName":"%s","role":"entry","machineClass":"front",
             "serves":["front","control","directory"],"ip":"%s","zone":"%s-a","region":"%s",
             "zones":{%s},
             "listenAddresses":{"front":"%2$s:%d","ready":"%2$s:%d","control":"%2$s:%d","directory":"%2$s:%d"},
             "internalPorts":[%d,%d],"seeds":[%s],"firstStart":true,"countsAsLoss":false,
             "limits":{"cpuShare":0.75,"cores":1,"memoryMb":430,"fileDescriptors":4100,"linkMbps":1000.0,"diskMb":0},
             "dataDirectory":null,"discovery":"platform","entry":"directory","heartbeatMs":1200,
             "contracts":["base","drain","config","cost","retry","recover","engine","stream","places","tenants","quota","platform"],
             "faultTolerance":{"machines":2,"zones":1,"regions":1},
             "bounds":{"seedLagS":3,"reuseAfterS":2,"contactMs":5000,"acknowledgeMs":6000,"catchUpS":4,
               "drainMs":3000,"graceS":8,"lossSlackMs":200,"configurationMs":3000,"rollbackSlackMs":250,
               "outerMs":8000,"strictRevocation":false,"revokeMs":5000,"retryBudgetRatio":0.2,
               "budgetWindowS":10,"retryBudgetSlack":52,"quotaWindowS":8,"quotaOverrun":0.25,
               "quotaSlack":110000,"coldOverrun":1.5,"coldSlack":3,"evacuationMs":5000,"recoveryS":12,
               "passMs":600,"retryAfterS":10,"ttl_max_s":5},
             "platform":{"address":"%s:%d","form":"read","writesPerS":400,"readsPerS":2000,
               "historyS":20,"valueBytes":1048576,"ttlMinMs":1000}}
            """
                .formatted(
                        name,
                        address,
                        region,
                        region,
                        zones,
                        ports.front(),
                        ports.ready(),
                        ports.control(),
                        ports.directory(),
                        ports.internal(),
                        ports.internal() + 15,
                        String.join(",", seeds),
                        ip(9, 1),
                        storePort);
    }

    /** One route of a configuration. */
    static String route(
            String name, String kind, String service, int timeout, int attempts, boolean resumable) {
        return """
            {"name":"%s","host":"%s","prefix":"/%s/","kind":"%s","timeoutMs":%d,"targetLatencyMs":1000,
             "priority":1,"service":"%s","attempts":%d,"public":false,"stickySessions":%b,
             "resumable":%b,"targetGapMs":300,"homeRegions":[]}"""
                .formatted(
                        name, HOST, name, kind, timeout, service, attempts, kind.equals("stream"), resumable);
    }

    void putConfiguration(int version, String routes, String tenants) {
        store.put(
                "op/config",
                """
                {"version":%d,"routes":[%s],
                 "services":[{"name":"model","healthPath":"/health","connectionLimit":360,"coldStartS":3.0,
                   "coldPerS":2.0,"engine":{"slots":64,"kvCacheTokens":222918}},
                   {"name":"orders","healthPath":"/health","connectionLimit":96}],
                 "limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
                 "tenants":[%s]}"""
                        .formatted(version, routes, tenants));
    }

    static String tenant(String name, String key, long rate, long burst) {
        return """
            {"name":"%s","apiKeys":["%s"],"priority":1,"unit":"tokens","plainTokens":200,
             "ratePerS":%d,"burst":%d,"homeRegions":[]}"""
                .formatted(name, key, rate, burst);
    }

    /** Waits until all VMs are ready. */
    boolean awaitReady(long millis) {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            if (vms.stream().allMatch(EntryVm::ready)) {
                askDirectories();
                while (resolved.size() < REGIONS.size() && System.nanoTime() < end) {
                    Threads.sleep(100);
                }
                return resolved.size() == REGIONS.size();
            }
            Threads.sleep(100);
        }
        return false;
    }

    private final Map<String, List<String>> resolved = new ConcurrentHashMap<>();

    /** Asks the directory for the callers of all regions, again every 2 s. */
    private void askDirectories() {
        for (String region : REGIONS) {
            Threads.start(
                    "directory of " + region,
                    () -> {
                        while (true) {
                            resolve(region);
                            Threads.sleep(2_000);
                        }
                    });
        }
    }

    private void resolve(String region) {
        String target = "/-/resolve?name=" + HOST + "&region=" + region + "&zone=" + region + "-a";
        for (EntryVm vm : nearestFirst(region)) {
            Caller.Answer answer = Caller.get(vm.ip, ports.directory(), target, 1_000);
            List<String> found = new ArrayList<>();
            Matcher address =
                    Pattern.compile("\"([0-9.]+):" + ports.front() + "\"").matcher(answer.body());
            while (address.find()) {
                found.add(address.group(1));
            }
            if (answer.status() == 200 && !found.isEmpty()) {
                resolved.put(region, found);
                return;
            }
        }
    }

    /** Address of a VM for a caller of a region. */
    String front(String region) {
        List<String> addresses = resolved.get(region);
        synchronized (random) {
            return addresses.get(random.nextInt(addresses.size()));
        }
    }

    private List<EntryVm> nearestFirst(String region) {
        return vms.stream()
                .sorted(Comparator.comparing((EntryVm vm) -> !vm.region.equals(region)))
                .limit(3)
                .toList();
    }

    int frontPort() {
        return ports.front();
    }

    @Override
    public void close() {
        vms.forEach(EntryVm::kill);
        try (var files = Files.walk(folder)) {
            if (System.getenv("KEEP_LOGS") == null) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        } catch (IOException e) {
            // The folder is gone.
        }
    }
}
