import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A trainer submits a batch. With trouble, the path of one of its items has a second request in it,
 * with an id that no client sent and the name of another tenant.
 */
public final class SmuggledRequest {
    private static final int STEPS = 5;
    private static final int GROUPS = 2;
    private static final int GROUP_ITEMS = 4;
    private static final int EVENTS = 4;
    private static final String SMUGGLED_ID = "6666666666666666";
    private static final String OTHER_TENANT = "goka901";

    /** A request that a worker began to work on. */
    private record Run(String worker, String id, String tenant) {}

    private static final Queue<Run> RUNS = new ConcurrentLinkedQueue<>();

    private SmuggledRequest() {}

    private static final class RecordingEngine extends Engine {
        private final Record mRecord;

        RecordingEngine(String id, Record record) {
            super(id, 12, 40, 5);
            mRecord = record;
        }

        @Override
        void run(
                Http.Connection connection,
                Http.Message request,
                String item,
                Map<String, String> headers)
                throws IOException, InterruptedException {
            String tenant = request.header("Tenant");
            mRecord.add("%s runs %s of tenant %s: %s", id, item, tenant, request.startLine);
            RUNS.add(new Run(id, item, tenant));
            stream(connection, request, item, headers);
        }
    }

    private static String path(int item) {
        return Trainer.PREFIX
                + "3/"
                + item
                + " HTTP/1.1\r\nHost: "
                + Deployment.HOST
                + "\r\nContent-Length: 0\r\n\r\nPOST "
                + Trainer.PREFIX
                + "smuggled HTTP/1.1\r\nHost: "
                + Deployment.HOST
                + "\r\nAttempt-Id: "
                + SMUGGLED_ID
                + "\r\nTenant: "
                + OTHER_TENANT
                + "\r\nToken-Usage: 271,4\r\nContent-Length: 0\r\n\r\nPOST "
                + Trainer.PREFIX
                + "3/"
                + item;
    }

    /**
     * Runs the case.
     *
     * @param arguments as described for {@link Case}
     */
    public static void main(String[] arguments) {
        Case.main(arguments, SmuggledRequest::play);
    }

    private static int play(Deployment deployment, Record record, boolean hasTrouble)
            throws Exception {
        Trainer.putDesiredState(deployment, 3);
        for (int i = 0; i < 2; i++) {
            Engine engine = new RecordingEngine("i-engine" + i, record);
            Http.Server server = new Http.Server(deployment.workerIp(i), 0, engine::handle);
            engine.register(deployment, "huvo11a", server.address());
        }
        Trainer.startScorer(deployment, 0);
        deployment.startEntries(2);
        Trainer trainer = new Trainer(deployment);
        int listed = 0;
        for (int step = 0; step < STEPS; step++) {
            String batch = String.format("7c%010x", step);
            byte[] body =
                    Trainer.batch(
                            batch,
                            step,
                            1,
                            GROUPS,
                            GROUP_ITEMS,
                            EVENTS,
                            600,
                            i ->
                                    hasTrouble && i == 0
                                            ? path(i)
                                            : Trainer.PREFIX + "3/" + i);
            int status = trainer.submit(trainer.anyEntry(), batch, body);
            record.report("batch %s is answered %d", batch, status);
            Thread.sleep(2_000);
            JsonNode results = trainer.read(batch, 0, 0);
            listed += results == null ? 0 : results.path("next").asInt();
            record.add("batch %s is ended: %d", batch, trainer.end(batch));
        }
        record.report("%d results are listed", listed);
        return check(record, listed);
    }

    private static int check(Record record, int listed) {
        int unasked = 0;
        for (Run run : RUNS) {
            // All items are of the tenant with key-1, and their ids begin with their batch's.
            if (!run.id().startsWith("7c") || !run.tenant().equals("nowu640")) {
                unasked++;
                record.report(
                        "UNASKED: %s ran %s of tenant %s, which no client sent",
                        run.worker(), run.id(), run.tenant());
            }
        }
        if (RUNS.isEmpty() || listed < STEPS * GROUPS * GROUP_ITEMS / 2) {
            return Case.NOT_RUN;
        }
        return unasked > 0 ? Case.BROKEN : Case.HELD;
    }
}
