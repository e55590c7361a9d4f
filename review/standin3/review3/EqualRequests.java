package review3;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two accounts send as many idempotent requests at the same pace. Those of one ask all for the same:
 * they have one path and one body, and each its own id. One worker crashes once, while it runs
 * four of these. Both accounts must be served on.
 */
final class EqualRequests implements Case.Trial {
    private static final int ENTRIES = 3;
    private static final int WORKERS = 6;
    private static final int WORK_MS = 36;

    /** Requests of one account that a host at the first node sends at once, each two seconds. */
    private static final int FAN_OUT = 24;

    private static final long FAN_OUT_MS = 2_000;

    /** Requests that a host at each node sends at once, each half second. */
    private static final int POLLS = 4;

    private static final long POLL_MS = 500;
    private static final String EQUAL_BODY = "{\"slot\":7}";

    /** Equal requests that the worker runs when it crashes. */
    private static final int LOST_REQUESTS = 4;

    private static final long CRASH_MS = 4_500;
    private static final long WATCH_MS = 65_000;

    /** Requests of an account, and how many of them were answered with success. */
    private static final class Count {
        private final AtomicInteger mSent = new AtomicInteger();
        private final AtomicInteger mServed = new AtomicInteger();

        double share() {
            return mSent.get() == 0 ? 0 : (double) mServed.get() / mSent.get();
        }
    }

    private final AtomicBoolean mIsCounting = new AtomicBoolean();
    private final AtomicBoolean mIsEnd = new AtomicBoolean();
    private Record mRecord;

    @Override
    public boolean run(Deployment deployment, boolean isDisturbed) throws Exception {
        mRecord = deployment.record;
        for (int i = 0; i < WORKERS; i++) {
            deployment.workers.add(
                    new Worker(deployment.kv, mRecord, "i-app-" + i, Deployment.SERVICE, "", 12, 0, WORK_MS));
        }
        Case.start(deployment, ENTRIES);
        Count equal = new Count();
        Count others = new Count();
        for (Entry entry : deployment.entries) {
            for (int n = 0; n < POLLS; n++) {
                poll(entry, Deployment.KEY, EQUAL_BODY, POLL_MS, POLL_MS / 4, equal);
                poll(entry, Deployment.OTHER_KEY, "", POLL_MS, POLL_MS / 2, others);
            }
        }
        for (int n = 0; n < FAN_OUT; n++) {
            Entry first = deployment.entries.get(0);
            poll(first, Deployment.KEY, EQUAL_BODY, FAN_OUT_MS, 0, equal);
            poll(first, Deployment.OTHER_KEY, "", FAN_OUT_MS, FAN_OUT_MS / 2, others);
        }
        Thread.sleep(3_000);
        mIsCounting.set(true);
        Thread.sleep(2_000);
        mRecord.add("state   before: served %.3f of the equal requests, %.3f of the others", equal.share(), others.share());
        if (equal.share() < 0.9 || others.share() < 0.9) {
            throw new Case.NotRunException("the accounts are not served before the crash");
        }
        if (isDisturbed) {
            Worker worker = deployment.workers.get(0);
            if (!worker.crashWhenRunning(EQUAL_BODY, LOST_REQUESTS, 20_000)) {
                throw new Case.NotRunException("the worker never ran so many equal requests at once");
            }
            Thread.sleep(CRASH_MS);
            deployment.workers.set(0, worker.comeBack());
        }
        Thread.sleep(WATCH_MS);
        mIsEnd.set(true);
        Thread.sleep(500);
        double all =
                (double) (equal.mServed.get() + others.mServed.get()) / (equal.mSent.get() + others.mSent.get());
        mRecord.add(
                "state   whole day: served %d of %d equal requests, %d of %d others, %.3f of all",
                equal.mServed.get(), equal.mSent.get(), others.mServed.get(), others.mSent.get(), all);
        return equal.share() >= all / 4;
    }

    /** Waits until the next multiple of an interval of the clock, and a phase. */
    private static void await(long intervalMs, long phaseMs) throws InterruptedException {
        Thread.sleep(intervalMs - Math.floorMod(System.currentTimeMillis() - phaseMs, intervalMs));
    }

    private void poll(Entry entry, String key, String body, long intervalMs, long phaseMs, Count count) {
        Thread client =
                new Thread(
                        () -> {
                            try {
                                while (!mIsEnd.get()) {
                                    await(intervalMs, phaseMs);
                                    send(entry, key, body, count);
                                }
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        client.setDaemon(true);
        client.start();
    }

    private void send(Entry entry, String key, String body, Count count) throws InterruptedException {
        String id = Client.newId();
        Map<String, String> headers = Map.of("Attempt-Id", id, "Deadline-Ms", "1200", "X-Api-Key", key);
        byte[] bytes = (body.isEmpty() ? id : body).getBytes(StandardCharsets.UTF_8);
        Client.Answer answer = Client.call(mRecord, entry, "POST", "/quote/7c41", headers, bytes, 2_000);
        if (mIsCounting.get()) {
            count.mSent.incrementAndGet();
            count.mServed.addAndGet(answer.status() == 200 ? 1 : 0);
        }
    }
}
