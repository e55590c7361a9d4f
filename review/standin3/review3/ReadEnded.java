package review3;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Trainers submit batches, wait for all results and end them, as they do all day. Then clients of
 * the same account read the ended batches again, four at once, at one node after the other.
 * No process may end.
 */
final class ReadEnded implements Case.Trial {
    private static final int ENTRIES = 3;
    private static final int TRAINERS = 4;
    private static final int ITEMS = 160;
    private static final int EVENTS = 18;
    private static final int BATCHES = 66;
    private static final int FEW_BATCHES = 8;
    private static final int READERS = 4;

    /** Time between two steps of a trainer, as on the sheets. */
    private static final long STEP_MS = 4_000;

    private static final int EVENT_CHARS = 340;
    private static final long READ_MS = 36_000;

    @Override
    public boolean run(Deployment deployment, boolean isDisturbed) throws Exception {
        Record record = deployment.record;
        for (int i = 0; i < 6; i++) {
            deployment.workers.add(
                    new Worker(deployment.kv, record, "i-engine-" + i, Deployment.ENGINES, Deployment.MODEL, 16, EVENTS, 4, EVENT_CHARS));
        }
        Case.start(deployment, ENTRIES);
        List<String> ended = new ArrayList<>();
        AtomicInteger left = new AtomicInteger(BATCHES);
        List<Thread> trainers = new ArrayList<>();
        for (int n = 0; n < TRAINERS; n++) {
            int first = n;
            Thread trainer = new Thread(() -> {
                try {
                    for (int step = first; left.getAndDecrement() > 0; step++) {
                        long startNs = System.nanoTime();
                        train(deployment, step, ended);
                        Thread.sleep(Math.max(0, STEP_MS - (System.nanoTime() - startNs) / 1_000_000));
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            trainer.start();
            trainers.add(trainer);
        }
        for (Thread trainer : trainers) {
            trainer.join(72_000);
        }
        record.add("state   %d batches were done and ended; ends: %s", ended.size(), Case.ownEnds(deployment));
        if (ended.size() < BATCHES * 9 / 10) {
            throw new Case.NotRunException("the batches were not done in time");
        }
        List<String> readAgain = isDisturbed ? ended : ended.subList(0, FEW_BATCHES);
        long untilNs = System.nanoTime() + READ_MS * 1_000_000;
        for (int pass = 0; System.nanoTime() < untilNs && !Case.isFault(deployment); pass++) {
            Entry entry = deployment.entries.get(pass % ENTRIES);
            int before = entry.ownEnds();
            List<Thread> readers = new ArrayList<>();
            for (int n = 0; n < READERS; n++) {
                int from = n;
                Thread reader = new Thread(() -> {
                    try {
                        for (int i = from; i < readAgain.size(); i += READERS) {
                            Client.results(record, entry, readAgain.get(i), 0, 0);
                            if (System.nanoTime() > untilNs || entry.ownEnds() > before) {
                                return;
                            }
                        }
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
                reader.start();
                readers.add(reader);
            }
            for (Thread reader : readers) {
                reader.join();
            }
        }
        record.add("state   ends: %s", Case.ownEnds(deployment));
        return !Case.isFault(deployment);
    }

    private static void train(Deployment deployment, int step, List<String> ended) throws InterruptedException {
        Record record = deployment.record;
        Entry entry = deployment.entries.get(step % ENTRIES);
        String id = Client.newId();
        byte[] batch = Client.batch(step, Client.itemIds(ITEMS), ITEMS * 600, step);
        if (Client.submit(record, entry, id, batch, 8_000).status() != 202) {
            return;
        }
        for (int listed = 0; listed < ITEMS; ) {
            Client.Answer answer = Client.results(record, entry, id, listed, 1_000);
            if (answer.status() != 200) {
                Thread.sleep(300);
                continue;
            }
            listed += Json.list(Json.object(answer.text()), "results").size();
        }
        if (Client.end(record, entry, id).status() == 200) {
            synchronized (ended) {
                ended.add(id);
            }
        }
    }
}
