import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * The store holds what a week of ordinary work leaves in it: the owner key of each batch, all of
 * them ended. The entry that watches these keys runs out of memory and ends, and then each entry
 * that watches them in its place.
 */
final class WeekOfBatches {
    /** Three trainers, each of which submits a batch each 4 s, for a week. */
    private static final int BATCHES = 3 * 7 * 24 * 3600 / 4;

    private static final long BATCH_INTERVAL_MS = 7 * 24 * 3600 * 1_000L / BATCHES;
    private static final long RUN_MS = 85_000;
    private static final int ALLOWED = 3;

    private WeekOfBatches() {}

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
        c.publishDesiredState(3, Cluster.usualRoutes());
        c.addWorkers(3, 4);
        for (Worker worker : c.workers) {
            worker.workMs = 120;
        }
        c.addNodes(3);
        if (!c.awaitReady(30_000)) {
            c.record("the entries are not ready");
            return 2;
        }
        Main.pause(2_000);
        String pattern = runBatch(c);
        if (pattern.isEmpty()) {
            return 2;
        }
        c.record("SIGTERM of all entries; the days that follow are not played");
        for (Cluster.Node node : c.nodes) {
            node.darkMs = 9_000;
            node.signal("TERM");
        }
        for (Cluster.Node node : c.nodes) {
            node.process.waitFor();
        }
        if (isTroubled) {
            fill(c, pattern);
        }
        c.store.forget();
        if (!c.awaitReady(30_000)) {
            c.record("the entries are not ready again");
            return 2;
        }
        c.nodes.forEach(node -> node.exits.clear());
        c.record("the entries are ready again");
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
        while (Worker.now() < untilMs && c.nodes.stream().allMatch(n -> n.exits.size() < 2)) {
            Main.pause(1_000);
        }
        Main.pause(1_000);
        clients.forEach(Kept::stopSending);
        Main.pause(500);
        return judge(c, outcomes);
    }

    /** Runs a batch to its end and returns the owner key that the product leaves. */
    private static String runBatch(Cluster c) {
        String id = "7c41e09b52d6a3f8";
        int status =
                Batches.submit(c, c.nodes.get(0), id, Batches.body(id, 0, 32, 600, 1, false));
        Main.pause(3_000);
        int read = Batches.read(c, c.nodes.get(1), id, 0).getValue().path("results").size();
        int end = Batches.end(c, c.nodes.get(0), id);
        Kv.Item key = c.store.read("cs/owner/" + id);
        String value = key == null ? "" : new String(key.value());
        c.record(
                "batch " + id + ": " + status + ", " + read + " results, end " + end + ", " + value);
        return status == 202 && end == 200 ? value : "";
    }

    /** Writes the owner keys of the batches of a week. */
    private static void fill(Cluster c, String pattern) throws Exception {
        long startMs = System.currentTimeMillis() - BATCHES * BATCH_INTERVAL_MS;
        for (int i = 0; i < BATCHES; i++) {
            String id = String.format("%016x", 0x9e3779b97f4a7c15L * (i + 1));
            ObjectNode value = (ObjectNode) Kv.JSON.readTree(pattern);
            value.put("id", id);
            value.put("submitted_wall_ms", startMs + i * BATCH_INTERVAL_MS);
            c.store.write("cs/owner/" + id, value);
        }
        c.record("the store holds the owner keys of " + BATCHES + " more ended batches");
    }

    /** LOST: see the claim. No machine is disturbed after they are ready again, so that all count. */
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
