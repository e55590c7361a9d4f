import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Trainers run their steps at two entries. Another client of the tenant, whose connections go to
 * the third, reads each step from the start after its trainer has ended it. That entry keeps the
 * results of the last 64 steps, whatever their size, and runs out of memory.
 */
final class ReadsOfEndedBatches {
    private static final int ITEMS = 160;
    private static final int EVENTS = 39;
    private static final int EVENT_BYTES = 220;
    private static final long RUN_MS = 70_000;
    private static final int MAX_STEPS = 170;
    private static final int ALLOWED = 3;

    private ReadsOfEndedBatches() {}

    public static void main(String[] args) throws Exception {
        boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review-");
        int code;
        try (Cluster c = new Cluster(folder, Path.of(args[0]))) {
            code = run(c, isTroubled);
        }
        System.exit(code);
    }

    private static int run(Cluster c, boolean isTroubled) throws Exception {
        Worker.eventCount = EVENTS;
        Worker.eventBytes = EVENT_BYTES;
        c.publishDesiredState(3, Cluster.usualRoutes());
        c.addWorkers(6, 4);
        for (Worker worker : c.workers) {
            worker.workMs = 120;
            worker.eventMs = 0;
        }
        c.addNodes(3);
        if (!c.awaitReady(30_000)) {
            c.record("the entries are not ready");
            return 2;
        }
        Main.pause(3_000);
        ConcurrentLinkedQueue<Kept.Outcome> outcomes = new ConcurrentLinkedQueue<>();
        List<Kept> clients = new ArrayList<>();
        for (Cluster.Node node : c.nodes) {
            for (int i = 0; i < 8; i++) {
                Kept client = new Kept(c, node, outcomes);
                clients.add(client);
                client.start();
            }
        }
        long untilMs = Worker.now() + RUN_MS;
        BlockingQueue<String> ended = new LinkedBlockingQueue<>();
        AtomicInteger steps = new AtomicInteger();
        AtomicInteger complete = new AtomicInteger();
        for (int t = 0; t < 4; t++) {
            int trainer = t;
            Thread thread = new Thread(() -> train(c, trainer, steps, complete, ended, untilMs));
            thread.setDaemon(true);
            thread.start();
        }
        int readAgain = 0;
        Cluster.Node reader = c.nodes.get(2);
        while (Worker.now() < untilMs && readAgain < MAX_STEPS) {
            String id = ended.poll(500, TimeUnit.MILLISECONDS);
            if (id == null) {
                continue;
            }
            if (isTroubled) {
                int read = readFromStart(c, reader, id);
                c.record("ended step " + id + " read again at " + reader.name + ": " + read);
            }
            readAgain++;
        }
        Main.pause(3_000);
        clients.forEach(Kept::stopSending);
        Main.pause(500);
        c.record(complete.get() + " steps were read whole by their trainers and ended");
        if (complete.get() < 30) {
            return 2;
        }
        return judge(c, outcomes);
    }

    /** Submits steps at one of two entries, reads each whole, and ends it. */
    private static void train(
            Cluster c,
            int trainer,
            AtomicInteger steps,
            AtomicInteger complete,
            BlockingQueue<String> ended,
            long untilMs) {
        while (Worker.now() < untilMs && steps.get() < MAX_STEPS) {
            Cluster.Node node = c.nodes.get(trainer % 2);
            int step = steps.getAndIncrement();
            String id = "t" + trainer + "s" + step + Long.toHexString(System.nanoTime());
            byte[] body = Batches.body(id, step, ITEMS, 600, 1, false);
            if (Batches.submit(c, node, id, body) != 202) {
                Main.pause(300);
                continue;
            }
            int read = 0;
            long giveUpMs = Worker.now() + 12_000;
            while (read < ITEMS && Worker.now() < giveUpMs) {
                read += Batches.read(c, node, id, read).getValue().path("results").size();
                Main.pause(100);
            }
            int status = 0;
            for (int i = 0; i < 3 && status != 200; i++) {
                status = Batches.end(c, node, id);
            }
            c.record("step " + id + " at " + node.name + ": " + read + " results, end " + status);
            if (read == ITEMS && status == 200) {
                complete.incrementAndGet();
                ended.add(id);
            }
        }
    }

    private static int readFromStart(Cluster c, Cluster.Node node, String id) {
        int read = 0;
        for (int failures = 0; read < ITEMS && failures < 3; ) {
            Map.Entry<Integer, com.fasterxml.jackson.databind.JsonNode> answer =
                    Batches.read(c, node, id, read);
            int count = answer.getValue().path("results").size();
            read += count;
            failures += count == 0 ? 1 : 0;
        }
        return read;
    }

    /** LOST: see the claim. No machine is disturbed, so that all count. */
    private static int judge(Cluster c, ConcurrentLinkedQueue<Kept.Outcome> outcomes) {
        Set<String> run = new HashSet<>();
        Worker.RUNS.forEach(r -> run.add(r.id()));
        int lost = 0;
        int answered = 0;
        for (Kept.Outcome outcome : outcomes) {
            answered += outcome.status() == 200 ? 1 : 0;
            if (outcome.isReused() && outcome.status() == 0 && run.contains(outcome.id())) {
                lost++;
                c.record(
                        "request "
                                + outcome.id()
                                + " was run for "
                                + outcome.node()
                                + ", which closed the kept connection without an answer");
            }
        }
        for (Cluster.Node node : c.nodes) {
            c.record(node.name + ": exit codes " + node.exits);
        }
        c.record("answered " + answered + ", lost on kept connections " + lost);
        boolean isBroken = lost > ALLOWED;
        c.record(isBroken ? "LOST is broken" : "LOST holds");
        return isBroken ? 1 : 0;
    }
}
