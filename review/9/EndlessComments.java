import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;

/** One of four replicas answers streams with comments, without end. */
final class EndlessComments {
    private static final long TROUBLE_MILLIS = 25_000;
    private static final int CALLERS = 40;

    /** Bytes of one stream in ten milliseconds: 1.6 megabits a second. */
    private static final int BURST_BYTES = 2_000;

    private EndlessComments() {}

    private static void comments(ReplicaServer replica, HttpMessage request, Socket socket)
            throws Exception {
        replica.site.note(
                "%s answers %s with endless comments", replica.id, request.header("request-id"));
        ReplicaServer.write(socket, replica.streamHead(request));
        String comment = ReplicaServer.chunk(": x\n\n");
        String burst = comment.repeat(BURST_BYTES / comment.length());
        while (true) {
            ReplicaServer.write(socket, burst);
            Thread.sleep(10);
        }
    }

    public static void main(String[] args) throws Exception {
        int exit;
        // Of two seconds, four times the objective and eight pauses, the longest.
        HttpMessage.patienceMillis = 4_800;
        try (Site site = new Site()) {
            for (int i = 1; i <= 4; i++) {
                site.replica("model-" + i, "model", "erie-west-a", 1, i);
            }
            for (int i = 1; i <= 3; i++) {
                site.replica("orders-" + i, "orders", "erie-west-a", 1, 10 + i);
            }
            site.store.put("op/config", Site.configuration(7));
            String seeds = "\"" + site.ip(1, 1) + ":PORT\",\"" + site.ip(1, 2) + ":PORT\"";
            site.vm("front-erie-west-a-1", "erie-west-a", 1, 1, seeds);
            site.vm("front-erie-west-a-2", "erie-west-a", 1, 2, seeds);
            exit = site.awaitReady(20_000) ? run(site) : 2;
            site.writeRecord(args[0]);
        }
        System.exit(exit);
    }

    private static int run(Site site) throws Exception {
        Thread.sleep(5_500);
        if (Site.TROUBLE) {
            site.replicas.get("model-1").behaviour = EndlessComments::comments;
        }
        ConcurrentLinkedQueue<Caller.Result> plain = new ConcurrentLinkedQueue<>();
        ConcurrentLinkedQueue<Caller.Result> streams = new ConcurrentLinkedQueue<>();
        long end = site.now() + TROUBLE_MILLIS;
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int number = i;
            Site.Vm vm = site.vms.get(i % 2);
            callers.add(
                    new Thread(
                            () -> {
                                Caller caller = new Caller(site, vm);
                                while (site.now() < end) {
                                    if (number % 4 < 2) {
                                        plain.add(
                                                number % 8 < 4
                                                        ? caller.plain("POST", "booking", 3_000)
                                                        : caller.plain("GET", "lookup", 3_000));
                                    } else {
                                        streams.add(caller.stream("question", 15_000));
                                    }
                                    try {
                                        Thread.sleep(number % 4 < 2 ? 400 : 100);
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
            caller.join(16_000);
        }
        long atTimeout = plain.stream().filter(result -> late(result, 1_500)).count();
        long halfASecondLater = plain.stream().filter(result -> late(result, 2_000)).count();
        site.note(
                "bookings and lookups %d, answered 200 %d, unanswered at the route's timeoutMs %d,"
                        + " of these half a second later %d; streams %d, answered %d; processes that"
                        + " ended by themselves %d",
                plain.size(),
                plain.stream().filter(result -> result.status() == 200).count(),
                atTimeout,
                halfASecondLater,
                streams.size(),
                streams.stream().filter(result -> result.status() == 200).count(),
                ended);
        System.out.println(site.record.get(site.record.size() - 1));
        return ended > 0 || (atTimeout >= 8 && 2 * halfASecondLater > atTimeout) ? 1 : 0;
    }

    private static boolean late(Caller.Result result, long millis) {
        boolean waited = result.status() != 0 || result.end().startsWith("no answer");
        return waited && result.millis() > millis;
    }
}
