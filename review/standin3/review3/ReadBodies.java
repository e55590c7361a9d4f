package review3;

import java.util.ArrayList;
import java.util.List;

/**
 * A batch was accepted. Clients of its account ask the nodes that do not own it for bodies of its
 * items, four at once at each; without the disruption one at a time. No process may end.
 */
final class ReadBodies implements Case.Trial {
    private static final int ENTRIES = 3;
    private static final int ITEMS = 52;
    private static final int BODIES_BYTES = 10_000_000;
    private static final int READERS = 8;
    private static final long READ_MS = 70_000;

    @Override
    public boolean run(Deployment deployment, boolean isDisturbed) throws Exception {
        Record record = deployment.record;
        deployment.publish(4, 600);
        deployment.addWorkers(3, 2, 20, 400);
        Case.start(deployment, ENTRIES);
        List<String> items = Client.itemIds(ITEMS);
        String id = Client.newId();
        int status = Client.submit(record, deployment.entries.get(0), id, Client.batch(0, items, BODIES_BYTES, 1), 12_000).status();
        if (status != 202) {
            throw new Case.NotRunException("the batch was answered " + status);
        }
        long untilNs = System.nanoTime() + READ_MS * 1_000_000;
        int readers = isDisturbed ? READERS : 1;
        while (System.nanoTime() < untilNs && !Case.isFault(deployment)) {
            List<Thread> threads = new ArrayList<>();
            for (int n = 0; n < readers; n++) {
                Entry entry = deployment.entries.get(1 + n % (ENTRIES - 1));
                String item = items.get(ITEMS - 1 - n);
                Thread reader = new Thread(() -> {
                    try {
                        Client.item(record, entry, id, item, 8_000);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
                reader.start();
                threads.add(reader);
            }
            for (Thread reader : threads) {
                reader.join();
            }
            Thread.sleep(500);
        }
        record.add("state   ends: %s", Case.ownEnds(deployment));
        return !Case.isFault(deployment);
    }
}
