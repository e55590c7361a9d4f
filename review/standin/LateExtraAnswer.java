import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send requests of a non-idempotent route; the workers refuse what exceeds their slots and
 * queue. With trouble, one of two workers sends a second copy of some of their answers, late: at
 * the point where the next answer on that connection is expected.
 */
public final class LateExtraAnswer {
    private static final int WORKERS = 2;
    private static final int SLOTS = 1;
    private static final int QUEUE = 1;
    private static final int CLIENTS = 10;
    private static final long WORK_MS = 60;
    private static final long RUN_MS = 85_000;

    /** Dose of the disruption: share of the workers, share of their answers, and its length. */
    private static final int GARBLING_WORKERS = 1;

    private static final double EXTRA_SHARE = 0.03;
    private static final long ON_MS = 5_000;
    private static final long PERIOD_MS = 6_000;

    private final Record mRecord;
    private final boolean mHasTrouble;
    private final Map<String, List<String>> mRuns = new ConcurrentHashMap<>();
    private final Map<String, Integer> mAnswers = new ConcurrentHashMap<>();
    private final AtomicInteger mExtras = new AtomicInteger();
    private final AtomicInteger mRefusals = new AtomicInteger();
    private final long mStartMs = Store.nowMs();

    private LateExtraAnswer(Record record, boolean hasTrouble) {
        mRecord = record;
        mHasTrouble = hasTrouble;
    }

    private boolean isGarbling(int worker) {
        return mHasTrouble
                && worker < GARBLING_WORKERS
                && (Store.nowMs() - mStartMs) % PERIOD_MS < ON_MS;
    }

    /** A worker of the plain service. */
    private final class Worker {
        private final int mNumber;
        private final String mId;
        private final Random mRandom = new Random();
        private final Map<Http.Connection, byte[]> mLateExtras = new ConcurrentHashMap<>();
        private int mRunning;
        private int mWaiting;

        Worker(int number) {
            mNumber = number;
            mId = "i-7f3a91c" + number;
        }

        void handle(Http.Connection connection, Http.Message request)
                throws IOException, InterruptedException {
            byte[] extra = mLateExtras.remove(connection);
            if (extra != null) {
                mExtras.incrementAndGet();
                mRecord.add("%s sends a late second copy of its last answer", mId);
                connection.write(extra);
            }
            byte[] answer = answer(connection, request);
            if (isGarbling(mNumber) && mRandom.nextDouble() < EXTRA_SHARE) {
                mLateExtras.put(connection, answer);
            }
            connection.write(answer);
        }

        private byte[] answer(Http.Connection connection, Http.Message request)
                throws IOException, InterruptedException {
            String id = request.header("Attempt-Id");
            Map<String, String> headers = new TreeMap<>();
            headers.put("Attempt-Id", id);
            if (!request.header("Expect-Instance").equals(mId)) {
                headers.put("Not-Executed", "1");
                return Http.response(421, headers, new byte[0]);
            }
            if (!enter(connection)) {
                mRefusals.incrementAndGet();
                mRecord.add("%s refuses %s: it is full", mId, id);
                headers.put("Not-Executed", "1");
                return Http.response(503, headers, new byte[0]);
            }
            mRecord.add("%s runs %s", mId, id);
            mRuns.computeIfAbsent(id, i -> new ArrayList<>()).add(mId);
            Thread.sleep(WORK_MS);
            leave();
            headers.put("Server-Stamp", "3e1b.07." + id);
            return Http.response(200, headers, Http.utf8("done " + id));
        }

        /** Takes a slot, now or after a wait in the queue; false if the request is not run. */
        private synchronized boolean enter(Http.Connection connection)
                throws IOException, InterruptedException {
            if (mRunning >= SLOTS && mWaiting >= QUEUE) {
                return false;
            }
            mWaiting++;
            try {
                while (mRunning >= SLOTS) {
                    wait(5);
                    if (connection.isClosedByPeer()) {
                        throw new IOException("dropped from the queue: its connection has closed");
                    }
                }
            } finally {
                mWaiting--;
            }
            mRunning++;
            return true;
        }

        private synchronized void leave() {
            mRunning--;
            notifyAll();
        }
    }

    private void runClient(Deployment deployment, int number) {
        Random random = new Random();
        int count = 0;
        while (Store.nowMs() - mStartMs < RUN_MS) {
            String id = String.format("%04x%012x", number, ++count);
            Deployment.Entry entry =
                    deployment.entries.get(random.nextInt(deployment.entries.size()));
            mRecord.add("client %d sends %s to %s", number, id, entry.name);
            int status = 0;
            try (Http.Connection connection = Http.Connection.open(entry.clientAddress(), 3_000)) {
                connection.write(
                        Http.bytes(
                                "POST /lohu930/2f HTTP/1.1",
                                Map.of(
                                        "Host", Deployment.HOST,
                                        "Attempt-Id", id,
                                        "Deadline-Ms", "3000",
                                        "X-Api-Key", "key-1"),
                                Http.utf8("hold a place")));
                status = Http.read(connection, false).status();
            } catch (IOException e) {
                mRecord.add("%s: no answer: %s", id, e);
            }
            mRecord.add("%s is answered %d", id, status);
            mAnswers.put(id, status);
            try {
                Thread.sleep(random.nextInt(200));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private int check() {
        int twice = 0;
        int refused = 0;
        for (Map.Entry<String, List<String>> run : mRuns.entrySet()) {
            int status = mAnswers.getOrDefault(run.getKey(), 0);
            if (run.getValue().size() > 1) {
                twice++;
                mRecord.report(
                        "TWICE: %s ran at %s, answered %d", run.getKey(), run.getValue(), status);
            }
            if (status == 503 || status == 429 || status == 408 || status == 421) {
                refused++;
                mRecord.report(
                        "REFUSED: %s was answered %d and ran at %s",
                        run.getKey(), status, run.getValue());
            }
        }
        long served = mAnswers.values().stream().filter(s -> s == 200).count();
        mRecord.report(
                "%d requests, %d answered 200, %d refusals by workers, %d late second answers,"
                        + " %d ran twice, %d refused though they ran",
                mAnswers.size(), served, mRefusals.get(), mExtras.get(), twice, refused);
        if (served < mAnswers.size() / 4) {
            return Case.NOT_RUN;
        }
        return twice + refused > 0 ? Case.BROKEN : Case.HELD;
    }

    /**
     * Runs the case.
     *
     * @param arguments as described for {@link Case}
     */
    public static void main(String[] arguments) {
        Case.main(arguments, LateExtraAnswer::play);
    }

    private static int play(Deployment deployment, Record record, boolean hasTrouble)
            throws Exception {
        Map<String, Object> route =
                Deployment.route("r-hold", "/lohu930/", "non_idempotent", "huvo11a", 2);
        route.put("slo_ms", 1_000);
        deployment.putDesiredState(
                List.of(route),
                List.of(Map.of("name", "huvo11a", "max_connections", 100)));
        LateExtraAnswer test = new LateExtraAnswer(record, hasTrouble);
        for (int i = 0; i < WORKERS; i++) {
            Worker worker = test.new Worker(i);
            Http.Server server = new Http.Server(deployment.workerIp(i), 0, worker::handle);
            deployment.register(worker.mId, "huvo11a", server.address(), SLOTS, Map.of());
        }
        deployment.startEntries(5);
        LateExtraAnswer run = test;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread client = new Thread(() -> run.runClient(deployment, number));
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) {
            client.join();
        }
        Thread.sleep(1_000);
        return test.check();
    }
}
