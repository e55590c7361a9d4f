package review3;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * The store holds what the entries themselves have left there of ended batches. The entries are
 * started, as after a roll, and trainers submit batches. No process may end.
 */
final class StartAfterLongService implements Case.Trial {
    private static final int ENTRIES = 3;

    /** Three trainers, a batch each 4 s, as the sheet of klt-vesak has them. */
    private static final int TRAINERS = 3;

    private static final long STEP_MS = 4_000;
    private static final long BATCHES_PER_HOUR = TRAINERS * 3_600_000 / STEP_MS;

    private static final int LONG_HOURS = 7 * 24;

    /** Time after the start of the case until which it watches. */
    private static final long END_MS = 111_000;

    @Override
    public boolean run(Deployment deployment, boolean isDisturbed) throws Exception {
        Record record = deployment.record;
        deployment.addWorkers(3, 8, 10, 60);
        Case.start(deployment, 1);
        Entry first = deployment.entries.get(0);
        String model = Client.newId();
        if (Client.submit(record, first, model, Client.batch(0, Client.itemIds(52), 31_200, 1), 8_000).status() != 202) {
            throw new Case.NotRunException("the first batch was not accepted");
        }
        Thread.sleep(2_000);
        Client.end(record, first, model);
        Thread.sleep(500);
        Map<String, byte[]> owners = deployment.kv.read("cs/owner/");
        if (owners.size() != 1) {
            throw new Case.NotRunException("the ended batch has left " + owners.size() + " owner keys");
        }
        String value = new String(owners.get("cs/owner/" + model), StandardCharsets.UTF_8);
        record.add("state   an ended batch leaves cs/owner/%s = %s", model, value);
        // All entries are stopped; the store goes on alone, as it does while they are rolled.
        first.close();
        deployment.entries.clear();
        Thread.sleep(3_500);
        long batches = (isDisturbed ? LONG_HOURS : 1) * BATCHES_PER_HOUR;
        for (long i = 0; i < batches; i++) {
            String id = Client.newId();
            deployment.kv.putBytes("cs/owner/" + id, value.replace(model, id).getBytes(StandardCharsets.UTF_8));
        }
        deployment.kv.dropHistory();
        record.add("state   the store holds the owner keys of %d ended batches", batches + 1);
        Case.start(deployment, ENTRIES);
        int submitted = 0;
        int accepted = 0;
        for (int step = 1; record.elapsedMs() < END_MS && !Case.isFault(deployment); step++) {
            byte[] batch = Client.batch(step, Client.itemIds(52), 31_200, step);
            Entry entry = deployment.entries.get(step % ENTRIES);
            submitted++;
            accepted += Client.submit(record, entry, Client.newId(), batch, 3_000).status() == 202 ? 1 : 0;
            Thread.sleep(STEP_MS / TRAINERS);
        }
        record.add("state   %d of %d batches accepted; ends: %s", accepted, submitted, Case.ownEnds(deployment));
        return !Case.isFault(deployment);
    }
}
