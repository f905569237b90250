import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Half of the model replicas spoil one in twenty of their answers: in the body of a stream they
 * repeat their status line without a line end, with a blank line now and then, until the caller
 * closes.
 */
final class StatusLines {
    private static final int TIMEOUT_MILLIS = 1_500;
    private static final int DEADLINE_MILLIS = 3_000;
    private static final int SLACK_MILLIS = 500;
    private static final int BLOCK_BYTES = 200 * 1_024;
    private static final long TROUBLE_MILLIS = 5_000;

    /** One in so many answers of the replicas in trouble is spoiled. */
    private static final int ONE_IN = 20;

    /** Fewest requests without a final answer that break the rule. */
    private static final int FEWEST = 8;

    private final Deployment deployment;
    private final boolean trouble;
    private final List<Replica> replicas = new ArrayList<>();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger answeredInTime = new AtomicInteger();
    private final AtomicInteger ends = new AtomicInteger();
    private final AtomicInteger answers = new AtomicInteger();
    private volatile boolean garbling;
    private volatile boolean ended;

    private StatusLines(Deployment deployment, boolean trouble) {
        this.deployment = deployment;
        this.trouble = trouble;
    }

    public static void main(String[] args) throws Exception {
        Path record = Path.of(args[1]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Deployment deployment = new Deployment(Path.of(args[0]))) {
            code = new StatusLines(deployment, trouble).play();
            deployment.record.write(record);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    /** Spoils the answers to streams while it is in trouble. */
    private final class Faulty extends Replica {
        Faulty(String region, String ip) throws Exception {
            super(StatusLines.this.deployment, "model", region, ip);
        }

        @Override
        void run(Http.Head head, byte[] body, Socket socket, OutputStream out) throws Exception {
            if (!garbling || answers.incrementAndGet() % ONE_IN != 0) {
                super.run(head, body, socket, out);
                return;
            }
            String request = head.field("request-id");
            deployment.record.add("replica " + id + " runs " + request + " and hands out wrong bytes");
            Threads.sleep(prefillMillis);
            writeHead(out, request);
            StringBuilder block = new StringBuilder();
            while (block.length() < BLOCK_BYTES) {
                block.append("HTTP/1.1 200 OK ");
            }
            block.append("\n\n");
            while (true) {
                chunk(out, block.toString());
                out.flush();
            }
        }
    }

    private int play() throws Exception {
        int[] engines = {9, 6, 3};
        for (int i = 0; i < engines.length; i++) {
            String region = Deployment.REGIONS.get(i);
            for (int j = 0; j < engines[i]; j++) {
                String ip = deployment.ip(i + 1, 100 + j);
                boolean faulty = j % 2 == i % 2;
                replicas.add(
                        faulty ? new Faulty(region, ip) : new Replica(deployment, "model", region, ip));
            }
            Replica orders = new Replica(deployment, "orders", region, deployment.ip(i + 1, 200));
            orders.prefillMillis = 60;
            replicas.add(orders);
        }
        for (Replica replica : replicas) {
            replica.start(false);
        }
        deployment.putConfiguration(
                1,
                Deployment.route("draft", "stream", "model", 5_000, 1, false)
                        + ","
                        + Deployment.route("look", "safe", "orders", TIMEOUT_MILLIS, 2, false),
                Deployment.tenant("tenant-one", Deployment.KEY, 1_000_000, 2_000_000));
        deployment.startVms(3, 2, 1);
        if (!deployment.awaitReady(20_000)) {
            System.out.println("the VMs did not become ready");
            return 2;
        }
        deployment.vms.forEach(vm -> Threads.start("restarts", () -> restart(vm)));
        Threads.sleep(3_000);
        for (String region : Deployment.REGIONS) {
            Threads.start("stream callers", () -> callStreams(region));
            Threads.start("look-up callers", () -> callLookUps(region));
        }
        Threads.sleep(8_000);
        garbling = trouble;
        deployment.record.add(trouble ? "half of the replicas begin to hand out wrong bytes" : "no trouble");
        Threads.sleep(TROUBLE_MILLIS);
        garbling = false;
        deployment.record.add("the replicas are sound again");
        Threads.sleep(20_000);
        ended = true;
        Threads.sleep(4_000);
        return judge();
    }

    /** A process that exits is started again after a short delay, as by the platform. */
    private void restart(EntryVm vm) throws Exception {
        while (!ended) {
            int code = vm.awaitExit();
            if (ended) {
                return;
            }
            ends.incrementAndGet();
            deployment.record.add("the process of " + vm.name + " has ended by itself, exit code " + code);
            Threads.sleep(500);
            vm.start();
        }
    }

    private void callStreams(String region) {
        for (int i = 0; !ended; i++) {
            String id = "draft-" + region + "-" + i;
            String prompt = "5c1e07a2:119,c0f%05d:79,e%07x:430".formatted(i % 453, i);
            String fields = "Model: m\r\nToken-Counts: 628,58\r\nPrompt-Prefix: " + prompt + "\r\n";
            Threads.start("caller", () -> call(id, region, "POST /draft/a", fields, 5_000));
            Threads.sleep(60);
        }
    }

    private void callLookUps(String region) {
        for (int i = 0; !ended; i++) {
            String id = "look-" + region + "-" + i;
            Threads.start("caller", () -> call(id, region, "GET /look/a", "", DEADLINE_MILLIS));
            Threads.sleep(70);
        }
    }

    private void call(String id, String region, String line, String fields, int deadlineMillis)
            throws Exception {
        String front = deployment.front(region);
        String request =
                line
                        + " HTTP/1.1\r\nHost: "
                        + Deployment.HOST
                        + "\r\nRequest-Id: "
                        + id
                        + "\r\n"
                        + fields
                        + "Deadline-Remaining: "
                        + deadlineMillis
                        + "\r\nKey: "
                        + Deployment.KEY
                        + "\r\nContent-Length: 0\r\n\r\n";
        long begin = deployment.record.millis();
        deployment.record.add("request " + id + " is sent to " + front);
        Caller.Answer answer = Caller.send(front, deployment.frontPort(), request, deadlineMillis);
        long millis = deployment.record.millis() - begin;
        deployment.record.add(
                "request " + id + " gets " + answer.status() + " " + answer.problem()
                        + (answer.status() == 200 ? "" : answer.body()) + " after " + millis + " ms");
        sent.incrementAndGet();
        if (answer.status() == 200) {
            served.incrementAndGet();
        }
        if (deadlineMillis == DEADLINE_MILLIS && millis >= TIMEOUT_MILLIS) {
            boolean late = millis > TIMEOUT_MILLIS + SLACK_MILLIS || answer.problem().contains("timed out");
            (late ? unanswered : answeredInTime).incrementAndGet();
        }
    }

    private int judge() {
        String result =
                "look-ups without an answer at timeoutMs: "
                        + (unanswered.get() + answeredInTime.get())
                        + ", of these without a final answer 500 ms later: "
                        + unanswered
                        + "; processes that ended by themselves: "
                        + ends
                        + "; "
                        + served
                        + " of "
                        + sent
                        + " requests served";
        deployment.record.add(result);
        System.out.println(result);
        if (served.get() < 0.3 * sent.get()) {
            return 2;
        }
        boolean broken = unanswered.get() >= FEWEST && unanswered.get() > answeredInTime.get();
        return broken ? 1 : 0;
    }
}
