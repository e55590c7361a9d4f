package review3;

import java.util.List;

/**
 * A trainer submits batches of legal size, and each again at another node after no response, as
 * often as a sheet's clients do. No process may end; to refuse the batches is allowed.
 */
final class LargeBatch implements Case.Trial {
    private static final int ENTRIES = 3;
    private static final int STEPS = 7;
    private static final int TRIES = 2;
    private static final int ITEMS = 52;
    private static final int LARGE_BYTES = 15_000_000;
    private static final int SMALL_BYTES = 31_200;
    private static final long STEP_MS = 4_000;

    @Override
    public boolean run(Deployment deployment, boolean isDisturbed) throws Exception {
        Record record = deployment.record;
        deployment.addWorkers(3, 8, 10, 20);
        Case.start(deployment, ENTRIES);
        int next = 0;
        for (int step = 0; step < STEPS && !Case.isFault(deployment); step++) {
            long startNs = System.nanoTime();
            List<String> items = Client.itemIds(ITEMS);
            String id = Client.newId();
            byte[] batch = Client.batch(step, items, isDisturbed ? LARGE_BYTES : SMALL_BYTES, step);
            if (batch.length > Deployment.MAX_BODY_BYTES) {
                throw new Case.NotRunException("the batch is over the limit");
            }
            int status = 0;
            for (int attempt = 0; attempt < TRIES && status == 0; attempt++) {
                Entry entry = deployment.entries.get(next++ % ENTRIES);
                entry.awaitReady(8_000);
                status = Client.submit(record, entry, id, batch, 8_000).status();
                Thread.sleep(300);
            }
            if (!isDisturbed && status != 202) {
                throw new Case.NotRunException("a small batch was answered " + status);
            }
            if (status == 202) {
                Client.end(record, deployment.entries.get(next % ENTRIES), id);
            }
            Thread.sleep(Math.max(0, STEP_MS - (System.nanoTime() - startNs) / 1_000_000));
        }
        Thread.sleep(1_000);
        record.add("state   ends: %s", Case.ownEnds(deployment));
        return !Case.isFault(deployment);
    }
}
