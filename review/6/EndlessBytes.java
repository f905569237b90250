import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;

/** One of four replicas answers some streams with bytes that are no event, without end. */
final class EndlessBytes {
    private static final int CALLERS = 12;
    private static final long TROUBLE_MILLIS = 25_000;

    /** 150 KB/s of payload in chunks of eight bytes, until the caller closes. */
    private static final int BURST = 190;

    private EndlessBytes() {}

    private static void noise(ReplicaServer replica, HttpMessage request, Socket socket)
            throws Exception {
        String target = request.startLine.split(" ")[1];
        if (!target.startsWith("/draft/")) {
            replica.stream(request, socket);
            return;
        }
        replica.site.note("%s answers %s with endless bytes", replica.id, request.header("request-id"));
        ReplicaServer.write(socket, replica.streamHead(request));
        String bytes = ReplicaServer.chunk("\0\0\0\0\0\0\0\0").repeat(BURST);
        while (true) {
            ReplicaServer.write(socket, bytes);
            Thread.sleep(10);
        }
    }

    public static void main(String[] args) throws Exception {
        int exit;
        try (Site site = new Site()) {
            for (int i = 1; i <= 4; i++) {
                site.replica("model-" + i, "model", "erie-west-a", 1, i);
            }
            site.replica("orders-1", "orders", "erie-west-a", 1, 11);
            site.store.put("op/config", Site.configuration(7));
            String seeds = "\"" + site.ip(1, 1) + ":PORT\",\"" + site.ip(1, 2) + ":PORT\"";
            site.vm("front-erie-west-a-1", "erie-west-a", 1, 1, seeds);
            site.vm("front-erie-west-a-2", "erie-west-a", 1, 2, seeds);
            exit = site.awaitReady(20_000) ? run(site) : 2;
            site.writeRecord(args[0]);
            if (System.getenv("KEEP_LOGS") != null) {
                System.out.println(site.work);
            }
        }
        System.exit(exit);
    }

    private static int run(Site site) throws Exception {
        Thread.sleep(5_500);
        if (Site.TROUBLE) {
            site.replicas.get("model-1").behaviour = EndlessBytes::noise;
        }
        ConcurrentLinkedQueue<Caller.Result> orders = new ConcurrentLinkedQueue<>();
        ConcurrentLinkedQueue<Caller.Result> streams = new ConcurrentLinkedQueue<>();
        long end = site.now() + TROUBLE_MILLIS;
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            Site.Vm vm = site.vms.get(i % 2);
            boolean order = i % 4 >= 2;
            callers.add(
                    new Thread(
                            () -> {
                                Caller caller = new Caller(site, vm);
                                while (site.now() < end) {
                                    if (order) {
                                        orders.add(caller.plain("POST", "booking", 3_000));
                                    } else {
                                        streams.add(caller.stream("draft", 6_000));
                                    }
                                    try {
                                        Thread.sleep(order ? 150 : 100);
                                    } catch (InterruptedException e) {
                                        return;
                                    }
                                }
                            }));
        }
        callers.forEach(Thread::start);
        int ended = 0;
        while (site.now() < end) {
            for (Site.Vm vm : site.vms) {
                if (!vm.process.isAlive()) {
                    site.note("%s ended by itself, exit code %d", vm.name, vm.process.exitValue());
                    ended++;
                    Thread.sleep(1_000);
                    vm.start();
                }
            }
            Thread.sleep(50);
        }
        for (Thread caller : callers) {
            caller.join(10_000);
        }
        long atTimeout = late(orders, 1_500) + late(streams, 5_000);
        long halfASecondLater = late(orders, 2_000) + late(streams, 5_500);
        site.note(
                "bookings %d, without an answer %d; streams %d, without an answer %d; unanswered"
                        + " at the route's timeoutMs %d, of these half a second later %d;"
                        + " processes that ended by themselves %d",
                orders.size(),
                orders.stream().filter(result -> result.status() == 0).count(),
                streams.size(),
                streams.stream().filter(result -> result.status() == 0).count(),
                atTimeout,
                halfASecondLater,
                ended);
        System.out.println(site.record.get(site.record.size() - 1));
        return ended > 0 || (atTimeout >= 8 && 2 * halfASecondLater > atTimeout) ? 1 : 0;
    }

    /** Requests without an answer after a time; a connection that closed earlier has ended. */
    private static long late(Iterable<Caller.Result> results, long millis) {
        long count = 0;
        for (Caller.Result result : results) {
            boolean waited = result.status() != 0 || result.end().startsWith("no answer");
            count += waited && result.millis() > millis ? 1 : 0;
        }
        return count;
    }
}
