import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A trainer asks for steps, each after a new version of the weights. With trouble, the entry that
 * holds the duty of the weights loses power in the middle of an update, and the store loses the
 * answer of a write meanwhile.
 */
public final class StuckDuty {
    private static final int WORKERS = 6;
    private static final int SLOTS = 8;
    private static final int GROUPS = 25;
    private static final int GROUP_ITEMS = 8;
    private static final int ITEMS = GROUPS * GROUP_ITEMS;
    private static final int WANTED_ITEMS = ITEMS * 9 / 10;
    private static final int EVENTS = 60;
    private static final int EVENT_BYTES = 40;
    private static final long EVENT_MS = 20;

    /** Time after which the trainer gives a step up: the deadline on the sheet. */
    private static final long STEP_TIMEOUT_MS = 12_000;

    /** A version that is named excuses waiting for this long, by the rule LOST. */
    private static final long VERSION_EXCUSE_MS = 6_000;

    /** Time at no worker that breaks LOST. */
    private static final long LOST_MS = 5_000;

    /** Dose of the disruption: how long the power is off, and how long answers are lost. */
    private static final long DARK_MS = 3_500;

    private static final long LOST_ANSWERS_MS = 4_500;
    private static final double LOST_ANSWERS_SHARE = 0.35;

    private static final String DUTY_KEY = "cs/control/duty/weights";
    private static final int FIRST_VERSION = 2;
    private static final int TROUBLED_VERSION = 3;
    private static final int LAST_VERSION = 5;

    /** From the naming of a version until the power is lost: some workers are ordered by then. */
    private static final long TROUBLE_AFTER_MS = 1_500;

    private final Deployment mDeployment;
    private final Record mRecord;
    private final Map<String, Long> mFirstRunMs = new ConcurrentHashMap<>();
    private final List<Engine> mEngines = new ArrayList<>();
    private final AtomicInteger mLostAnswers = new AtomicInteger();
    private int mLostItems;
    private int mCompletedSteps;

    private StuckDuty(Deployment deployment, Record record) {
        mDeployment = deployment;
        mRecord = record;
    }

    private final class RecordingEngine extends Engine {
        RecordingEngine(String id) {
            super(id, SLOTS, EVENT_BYTES, EVENT_MS);
        }

        @Override
        void run(
                Http.Connection connection,
                Http.Message request,
                String item,
                Map<String, String> headers)
                throws IOException, InterruptedException {
            mRecord.add("%s runs %s", id, item);
            mFirstRunMs.putIfAbsent(item, Store.nowMs());
            stream(connection, request, item, headers);
        }
    }

    private void startEngines() throws IOException {
        for (int i = 0; i < WORKERS; i++) {
            Engine engine = new RecordingEngine("i-engine" + i);
            Http.Server server = new Http.Server(mDeployment.workerIp(i), 0, engine::handle);
            engine.register(mDeployment, "huvo11a", server.address());
            mEngines.add(engine);
        }
    }

    /** Takes the power from the holder of the duty; the answer of the next write to it is lost. */
    private void disturb() {
        try {
            Thread.sleep(TROUBLE_AFTER_MS);
            String holder = mDeployment.store.value(DUTY_KEY).split("#")[0];
            long commits = mDeployment.store.commits();
            mDeployment.store.loseAnswers(
                    key -> key.equals(DUTY_KEY) && mLostAnswers.incrementAndGet() > 0);
            for (Deployment.Entry entry : mDeployment.entries) {
                if (entry.name.equals(holder)) {
                    entry.losePower(DARK_MS);
                }
            }
            Thread.sleep(LOST_ANSWERS_MS);
            mDeployment.store.loseAnswers(key -> false);
            commits = mDeployment.store.commits() - commits;
            mRecord.report(
                    "the store lost the answers of %d of %d writes", mLostAnswers.get(), commits);
            if (mLostAnswers.get() > LOST_ANSWERS_SHARE * commits) {
                mRecord.report("that is more than the share of %s", LOST_ANSWERS_SHARE);
            }
        } catch (IOException | InterruptedException e) {
            mRecord.report("the disruption failed: %s", e);
        }
    }

    private void runStep(Trainer trainer, int version) throws IOException, InterruptedException {
        mDeployment.store.put(
                "op/version/" + Engine.MODEL, Map.of("model", Engine.MODEL, "version", version));
        mRecord.report("version %d is named", version);
        String batch = String.format("7c%010x", version);
        byte[] body =
                Trainer.batch(
                        batch, version, version - 1, GROUPS, GROUP_ITEMS, EVENTS, 600,
                        i -> Trainer.PREFIX + "3/" + i);
        long startMs = Store.nowMs();
        long untilMs = startMs + STEP_TIMEOUT_MS;
        int status = 0;
        while (status != 202 && Store.nowMs() < untilMs) {
            status = trainer.submit(trainer.anyEntry(), batch, body);
            Thread.sleep(status == 202 ? 0 : 200);
        }
        int listed = 0;
        int mostRunning = 0;
        while (listed < WANTED_ITEMS && Store.nowMs() < untilMs) {
            JsonNode results = trainer.read(batch, listed, 500);
            listed = results == null ? listed : results.path("next").asInt();
            if (Store.nowMs() - startMs > VERSION_EXCUSE_MS) {
                mostRunning = Math.max(mostRunning, running());
            }
            Thread.sleep(50);
        }
        boolean isInTime = listed >= WANTED_ITEMS;
        mCompletedSteps += isInTime ? 1 : 0;
        mRecord.report(
                "step %d: %d of %d results after %d ms",
                version, listed, ITEMS, Store.nowMs() - startMs);
        if (!isInTime && status == 202) {
            checkLost(batch, startMs, mostRunning);
        }
        mRecord.add("step %d is ended: %d", version, trainer.end(batch));
    }

    private int running() {
        return mEngines.stream().mapToInt(Engine::running).sum();
    }

    /** Counts the items that LOST counts, in a step whose time is up: those that never began. */
    private void checkLost(String batch, long namedMs, int mostRunning) {
        long nowMs = Store.nowMs();
        long fromMs = namedMs + VERSION_EXCUSE_MS;
        int begun = 0;
        int lost = 0;
        for (int i = 0; i < ITEMS; i++) {
            boolean hasBegun = mFirstRunMs.containsKey(Trainer.itemId(batch, i));
            begun += hasBegun ? 1 : 0;
            lost += !hasBegun && nowMs - fromMs >= LOST_MS ? 1 : 0;
        }
        boolean isHalfFull = 2 * mostRunning >= WORKERS * SLOTS;
        mRecord.report(
                "its time is up: %d items have begun, %d were at no worker all along, at most %d of"
                        + " %d slots were taken",
                begun, lost, mostRunning, WORKERS * SLOTS);
        if (begun > 0 && !isHalfFull) {
            mLostItems += lost;
        }
    }

    /**
     * Runs the case.
     *
     * @param arguments as described for {@link Case}
     */
    public static void main(String[] arguments) {
        Case.main(arguments, StuckDuty::play);
    }

    private static int play(Deployment deployment, Record record, boolean hasTrouble)
            throws Exception {
        Trainer.putDesiredState(deployment, 3);
        StuckDuty test = new StuckDuty(deployment, record);
        test.startEngines();
        Trainer.startScorer(deployment, 0);
        Trainer.startScorer(deployment, 1);
        deployment.startEntries(2);
        Thread.sleep(5_000);
        Trainer trainer = new Trainer(deployment);
        for (int version = FIRST_VERSION; version <= LAST_VERSION; version++) {
            if (hasTrouble && version == TROUBLED_VERSION) {
                Http.daemon("trouble", test::disturb);
            }
            test.runStep(trainer, version);
        }
        record.report(
                "%d of %d steps were completed in time; LOST: %d items",
                test.mCompletedSteps, LAST_VERSION - FIRST_VERSION + 1, test.mLostItems);
        if (test.mCompletedSteps == 0) {
            return Case.NOT_RUN;
        }
        return test.mLostItems > 0 ? Case.BROKEN : Case.HELD;
    }
}
