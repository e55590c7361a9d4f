package review3;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Each entry accepts as many batches as it takes. Two entries are killed once, at the same moment.
 * The others must go on, and no process may end by itself.
 */
final class TakeOverOfLargeBatches implements Case.Trial {
    private static final int ENTRIES = 4;
    private static final int KILLED = 2;
    private static final int ROUNDS = 6;
    private static final int ITEMS = 52;
    private static final int BODIES_BYTES = 5_000_000;
    private static final long WATCH_MS = 75_000;

    /** What the trainer knows of its batch. */
    private static final class Step {
        private int mListed;
        private boolean mIsReadable;
    }

    @Override
    public boolean run(Deployment deployment, boolean isDisturbed) throws Exception {
        Record record = deployment.record;
        deployment.publish(4, 600);
        deployment.addWorkers(6, 8, 10, 100);
        Case.start(deployment, ENTRIES);
        Map<String, Step> steps = new LinkedHashMap<>();
        for (int round = 0; round < ROUNDS; round++) {
            for (Entry entry : deployment.entries) {
                String id = Client.newId();
                byte[] batch = Client.batch(round, Client.itemIds(ITEMS), BODIES_BYTES, round);
                if (Client.submit(record, entry, id, batch, 12_000).status() == 202) {
                    steps.put(id, new Step());
                }
            }
        }
        if (steps.size() < ENTRIES * ROUNDS * 2 / 3) {
            throw new Case.NotRunException("only " + steps.size() + " batches were accepted");
        }
        record.add("state   %d batches accepted; ends: %s", steps.size(), Case.ownEnds(deployment));
        if (isDisturbed) {
            for (int n = 0; n < KILLED; n++) {
                deployment.entries.get(n).kill();
            }
        }
        long untilNs = System.nanoTime() + WATCH_MS * 1_000_000;
        while (System.nanoTime() < untilNs && !Case.isFault(deployment) && !isDone(steps)) {
            read(deployment, steps);
            Thread.sleep(1_000);
        }
        long done = steps.values().stream().filter(s -> s.mListed == ITEMS).count();
        record.add("state   %d of %d batches done, ends: %s", done, steps.size(), Case.ownEnds(deployment));
        boolean hasHeld = !Case.isFault(deployment);
        if (!isDisturbed && !isDone(steps)) {
            throw new Case.NotRunException("the batches are not done without the disruption");
        }
        return hasHeld;
    }

    private static boolean isDone(Map<String, Step> steps) {
        return steps.values().stream().allMatch(s -> s.mListed == ITEMS);
    }

    private static void read(Deployment deployment, Map<String, Step> steps) throws InterruptedException {
        int turn = 0;
        for (Map.Entry<String, Step> step : new ArrayList<>(steps.entrySet())) {
            if (step.getValue().mListed == ITEMS) {
                continue;
            }
            List<Entry> entries = deployment.entries;
            Client.Answer answer =
                    Client.results(deployment.record, entries.get(turn++ % entries.size()), step.getKey(), 0, 0);
            step.getValue().mIsReadable = answer.status() == 200;
            if (answer.status() == 200) {
                step.getValue().mListed = Json.list(Json.object(answer.text()), "results").size();
            }
            if (Case.isFault(deployment)) {
                return;
            }
        }
    }
}
