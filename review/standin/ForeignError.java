import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two trainers submit batches in which one item of ten fails at each run, on a route that allows
 * one attempt. With trouble, three of five model workers send a second copy of some of their
 * answers, late: at the point where the next answer on that connection is expected.
 */
public final class ForeignError {
    private static final int WORKERS = 5;
    private static final int GROUPS = 10;
    private static final int GROUP_ITEMS = 4;
    private static final int ITEMS = GROUPS * GROUP_ITEMS;
    private static final int EVENTS = 4;
    private static final int EVENT_BYTES = 60;
    private static final int MAX_ATTEMPTS = 1;
    private static final long STEP_TIMEOUT_MS = 5_000;
    private static final long STEP_PAUSE_MS = 300;
    private static final long RUN_MS = 80_000;

    /** Dose of the disruption: share of the workers, share of their answers, and its length. */
    private static final int GARBLING_WORKERS = 3;

    private static final double EXTRA_SHARE = 0.03;
    private static final long ON_MS = 5_000;
    private static final long PERIOD_MS = 6_000;

    private final Deployment mDeployment;
    private final Record mRecord;
    private final boolean mHasTrouble;
    private final Map<String, AtomicInteger> mErrors = new ConcurrentHashMap<>();
    private final AtomicInteger mExtras = new AtomicInteger();
    private final AtomicInteger mListed = new AtomicInteger();
    private final AtomicInteger mDead = new AtomicInteger();
    private final AtomicInteger mWronglyDead = new AtomicInteger();
    private final long mStartMs = Store.nowMs();

    private ForeignError(Deployment deployment, Record record, boolean hasTrouble) {
        mDeployment = deployment;
        mRecord = record;
        mHasTrouble = hasTrouble;
    }

    /** Returns whether an item fails at each run. */
    private static boolean fails(String item) {
        return Math.floorMod(item.hashCode(), 10) == 0;
    }

    private boolean isOver() {
        return Store.nowMs() - mStartMs > RUN_MS;
    }

    private final class FaultyEngine extends Engine {
        private final boolean mMayGarble;
        private final Random mRandom = new Random();
        private final Map<Http.Connection, byte[]> mLateExtras = new ConcurrentHashMap<>();

        FaultyEngine(int number) {
            super("i-engine" + number, 12, EVENT_BYTES, 3);
            mMayGarble = number < GARBLING_WORKERS;
        }

        @Override
        void handle(Http.Connection connection, Http.Message request) throws Exception {
            byte[] extra = mLateExtras.remove(connection);
            if (extra != null) {
                mExtras.incrementAndGet();
                mRecord.add("%s sends a late second copy of its last answer", id);
                connection.write(extra);
            }
            super.handle(connection, request);
        }

        @Override
        void run(
                Http.Connection connection,
                Http.Message request,
                String item,
                Map<String, String> headers)
                throws IOException, InterruptedException {
            if (!fails(item)) {
                mRecord.add("%s runs %s", id, item);
                stream(connection, request, item, headers);
                return;
            }
            mRecord.add("%s answers %s with 500", id, item);
            mErrors.computeIfAbsent(item, i -> new AtomicInteger()).incrementAndGet();
            byte[] answer = Http.response(500, headers, Http.utf8("cannot be done"));
            boolean isOn = (Store.nowMs() - mStartMs) % PERIOD_MS < ON_MS;
            if (mHasTrouble && mMayGarble && isOn && mRandom.nextDouble() < EXTRA_SHARE) {
                mLateExtras.put(connection, answer);
            }
            connection.write(answer);
        }
    }

    private void runTrainer(int number) {
        Trainer trainer = new Trainer(mDeployment);
        try {
            for (int step = 0; !isOver(); step++) {
                runStep(trainer, String.format("%04x%08x", 0x7c00 + number, step), step);
                Thread.sleep(STEP_PAUSE_MS);
            }
        } catch (IOException | InterruptedException e) {
            mRecord.report("a trainer ends: %s", e);
        }
    }

    private void runStep(Trainer trainer, String batch, int step)
            throws IOException, InterruptedException {
        byte[] body = Trainer.batch(batch, step, GROUPS, GROUP_ITEMS, EVENTS, 60);
        Deployment.Entry entry = trainer.anyEntry();
        int status = trainer.submit(entry, batch, body);
        mRecord.add("batch %s goes to %s and is answered %d", batch, entry.name, status);
        long untilMs = Store.nowMs() + STEP_TIMEOUT_MS;
        int listed = 0;
        while (status == 202 && listed < ITEMS && Store.nowMs() < untilMs) {
            JsonNode results = trainer.read(batch, listed, 1_000);
            if (results == null) {
                Thread.sleep(200);
                continue;
            }
            results.path("results").forEach(this::check);
            listed = results.path("next").asInt();
        }
        mRecord.add("batch %s: %d results, is ended: %d", batch, listed, trainer.end(batch));
    }

    private void check(JsonNode result) {
        String item = result.path("id").asText();
        String state = result.path("state").asText();
        AtomicInteger errors = mErrors.getOrDefault(item, new AtomicInteger());
        mRecord.add("%s is listed as %s; its answers of 500: %d", item, state, errors.get());
        mListed.incrementAndGet();
        if (state.equals("dead")) {
            mDead.incrementAndGet();
            if (errors.get() < MAX_ATTEMPTS) {
                mWronglyDead.incrementAndGet();
                mRecord.report(
                        "MIXED: %s is listed as dead, but no worker answered it with 500 or 422",
                        item);
            }
        }
    }

    /**
     * Runs the case.
     *
     * @param arguments as described for {@link Case}
     */
    public static void main(String[] arguments) {
        Case.main(arguments, ForeignError::play);
    }

    private static int play(Deployment deployment, Record record, boolean hasTrouble)
            throws Exception {
        Trainer.putDesiredState(deployment, MAX_ATTEMPTS);
        ForeignError test = new ForeignError(deployment, record, hasTrouble);
        for (int i = 0; i < WORKERS; i++) {
            Engine engine = test.new FaultyEngine(i);
            Http.Server server = new Http.Server(deployment.workerIp(i), 0, engine::handle);
            engine.register(deployment, "huvo11a", server.address());
        }
        Trainer.startScorer(deployment, 0);
        Trainer.startScorer(deployment, 1);
        deployment.startEntries(2);
        List<Thread> trainers = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            int number = i;
            Thread trainer = new Thread(() -> test.runTrainer(number));
            trainer.start();
            trainers.add(trainer);
        }
        for (Thread trainer : trainers) {
            trainer.join();
        }
        record.report(
                "%d results, %d of them dead, %d late second answers, %d dead without a 500",
                test.mListed.get(), test.mDead.get(), test.mExtras.get(), test.mWronglyDead.get());
        if (test.mListed.get() < 10 * ITEMS) {
            return Case.NOT_RUN;
        }
        return test.mWronglyDead.get() > 0 ? Case.BROKEN : Case.HELD;
    }
}
