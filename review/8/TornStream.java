import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;

/** Two of four replicas stop 5 in 100 streams inside an event, and end the chunked body. */
final class TornStream {
    private static final double SHARE = 0.05;

    private TornStream() {}

    private static void torn(ReplicaServer replica, HttpMessage request, Socket socket)
            throws Exception {
        if (ThreadLocalRandom.current().nextDouble() >= SHARE) {
            replica.stream(request, socket);
            return;
        }
        String last = request.header("last-event-id");
        int first = last == null ? 1 : Integer.parseInt(last) + 1;
        Thread.sleep(replica.firstEventMillis);
        ReplicaServer.write(socket, replica.streamHead(request));
        int stop = Math.max(first, 5);
        for (int number = first; number < stop; number++) {
            ReplicaServer.write(socket, ReplicaServer.chunk(ReplicaServer.event(number)));
            Thread.sleep(replica.gapMillis);
        }
        replica.site.note(
                "%s stops %s inside event %d", replica.id, request.header("request-id"), stop);
        ReplicaServer.write(
                socket, ReplicaServer.chunk("id: " + stop + "\ndata: pie") + "0\r\n\r\n");
    }

    public static void main(String[] args) throws Exception {
        int exit;
        try (Site site = new Site()) {
            for (int i = 1; i <= 4; i++) {
                site.replica("model-" + i, "model", "erie-west-a", 1, i);
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
            site.replicas.get("model-1").behaviour = TornStream::torn;
            site.replicas.get("model-2").behaviour = TornStream::torn;
        }
        ConcurrentLinkedQueue<Caller.Result> streams = new ConcurrentLinkedQueue<>();
        long end = site.now() + 15_000;
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < 32; i++) {
            Site.Vm vm = site.vms.get(i % 2);
            String route = i < 16 ? "draft" : "question";
            callers.add(
                    new Thread(
                            () -> {
                                Caller caller = new Caller(site, vm);
                                while (site.now() < end) {
                                    streams.add(caller.stream(route, 5_000));
                                }
                            }));
        }
        callers.forEach(Thread::start);
        for (Thread caller : callers) {
            caller.join(40_000);
        }
        int cut = 0;
        String whole = "";
        for (int number = 1; number <= 10; number++) {
            whole += ReplicaServer.event(number);
        }
        for (Caller.Result stream : streams) {
            if (stream.status() == 200 && !stream.body().equals(whole)) {
                cut++;
                site.note(
                        "stream %s reached its caller as complete and ends with %s",
                        stream.id(),
                        stream.body()
                                .substring(Math.max(0, stream.body().length() - 30))
                                .replace("\n", "\\n"));
            }
        }
        site.note("streams %d, ended as complete before their last piece %d", streams.size(), cut);
        System.out.println(site.record.get(site.record.size() - 1));
        return cut > 0 ? 1 : 0;
    }
}
