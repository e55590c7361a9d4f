import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Three trainers each submit one step at an entry of their own, of 4,096 samples or of 160. The
 * texts of the larger ones fill the memory of their entries, which end, and so do the entries that
 * take the steps over.
 */
final class StepsOfTargetSize {
    private static final int TARGET_ITEMS = 4_096;
    private static final int USUAL_ITEMS = 160;
    private static final int BODY_BYTES = 600;
    private static final int EVENTS = 21;
    private static final int EVENT_BYTES = 400;
    private static final long TRAINER_DEADLINE_MS = 60_000;
    private static final int ALLOWED = 3;

    private StepsOfTargetSize() {}

    public static void main(String[] args) throws Exception {
        boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review-");
        int code;
        try (Cluster c = new Cluster(folder, Path.of(args[0]))) {
            code = run(c, isTroubled ? TARGET_ITEMS : USUAL_ITEMS);
        }
        System.exit(code);
    }

    private static int run(Cluster c, int items) throws Exception {
        Worker.eventCount = EVENTS;
        Worker.eventBytes = EVENT_BYTES;
        List<Map<String, Object>> routes = new ArrayList<>(Cluster.usualRoutes());
        routes.get(2).put("run_slo_ms", 60_000);
        routes.get(2).put("retention_s", 120);
        c.publishDesiredState(3, routes);
        c.addWorkers(10, 4);
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
        List<Thread> trainers = new ArrayList<>();
        for (int t = 0; t < c.nodes.size(); t++) {
            int trainer = t;
            Thread thread = new Thread(() -> train(c, trainer, items));
            thread.start();
            trainers.add(thread);
        }
        for (Thread trainer : trainers) {
            trainer.join();
        }
        clients.forEach(Kept::stopSending);
        Main.pause(500);
        return judge(c, outcomes);
    }

    /** Submits a step, reads it about twice a second, and ends it when it is whole or late. */
    private static void train(Cluster c, int trainer, int items) {
        String id = "b" + trainer + Long.toHexString(System.nanoTime());
        byte[] body = Batches.body(id, 0, items, BODY_BYTES, 1, false);
        int status = Batches.submit(c, c.nodes.get(trainer), id, body);
        c.record("step " + id + ", " + items + " samples, " + body.length + " bytes: " + status);
        int read = 0;
        long untilMs = Worker.now() + TRAINER_DEADLINE_MS;
        for (int i = trainer; read < items && Worker.now() < untilMs; i++) {
            Cluster.Node node = c.nodes.get(i % c.nodes.size());
            int count = Batches.read(c, node, id, read).getValue().path("results").size();
            read += count;
            Main.pause(count > 0 ? 50 : 500);
        }
        int end = 0;
        for (int i = 0; i < 6 && end != 200; i++) {
            end = Batches.end(c, c.nodes.get(i % c.nodes.size()), id);
        }
        c.record("step " + id + ": " + read + " results read, end " + end);
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
