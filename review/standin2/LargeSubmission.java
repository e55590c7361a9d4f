import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A trainer submits one step of 4,096 samples, within the limits of the desired state. The entry
 * that reads it runs out of memory and ends.
 */
final class LargeSubmission {
    private static final int SMALL_BODY_BYTES = 600;
    private static final int LARGE_BODY_BYTES = 3_500;
    private static final int ITEMS = 4_096;
    private static final int ALLOWED = 3;

    private LargeSubmission() {}

    public static void main(String[] args) throws Exception {
        boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review-");
        int code;
        try (Cluster c = new Cluster(folder, Path.of(args[0]))) {
            code = run(c, isTroubled ? LARGE_BODY_BYTES : SMALL_BODY_BYTES);
        }
        System.exit(code);
    }

    private static int run(Cluster c, int bodyBytes) throws Exception {
        c.publishDesiredState(3, Cluster.usualRoutes());
        c.addWorkers(6, 4);
        for (Worker worker : c.workers) {
            worker.workMs = 120;
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
            for (int i = 0; i < 5; i++) {
                Kept client = new Kept(c, node, outcomes);
                clients.add(client);
                client.start();
            }
        }
        Main.pause(2_000);
        String id = "b" + Long.toHexString(System.nanoTime());
        byte[] body = Batches.body(id, 0, ITEMS, bodyBytes, 1, false);
        int status = 0;
        for (int attempt = 0; attempt < 2 && status != 202; attempt++) {
            Cluster.Node node = c.nodes.get(attempt);
            status = Batches.submit(c, node, id, body);
            c.record(
                    "attempt "
                            + attempt
                            + ": submission of "
                            + body.length
                            + " bytes to "
                            + node.name
                            + ": "
                            + (status == 0 ? "no answer" : status));
        }
        Main.pause(8_000);
        clients.forEach(Kept::stopSending);
        Main.pause(500);
        return judge(c, outcomes);
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
