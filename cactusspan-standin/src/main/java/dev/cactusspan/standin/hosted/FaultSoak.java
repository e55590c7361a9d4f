package dev.cactusspan.standin.hosted;

import dev.cactusspan.standin.LoopbackProxy;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Runs a randomized soak test against real processes: clients send requests and a trainer submits
 * steps while faults chosen by a seed are injected from outside. The guarantees are checked
 * throughout; after all faults have ended, the system must serve again.
 */
public final class FaultSoak implements AutoCloseable {
    private static final int NODES = 3;
    private static final int ITEMS = 12;
    private static final int CALLERS = 4;
    private static final long QUOTE_INTERVAL_MS = 120;
    private static final int STREAMS = 2;
    private static final long STREAM_TIMEOUT_MS = 20_000;
    private static final long STEP_TIMEOUT_MS = 15_000;
    private static final long RECOVERY_TIMEOUT_MS = 12_000;
    private static final int FINAL_QUOTES = 20;
    private static final int FAULT_KINDS = 14;
    private static final int TARGET_FAULT_KINDS = 3;

    /** Largest offset of a clock, ahead or behind, in milliseconds. */
    private static final int MAX_CLOCK_OFFSET_MS = 8_000;

    private final Random mRandom;

    /**
     * Chooses faults of targets apart from the others, so that a seed still has the same others.
     */
    private final Random mTargetRandom;

    private final List<LoopbackProxy> mProxies = new ArrayList<>();
    private final HostedDeployment mDeployment;
    private final HostedClients mClients;
    private final ExecutorService mCallers = Executors.newFixedThreadPool(CALLERS);
    private final List<String> mFaults = new ArrayList<>();
    private volatile boolean mIsFinished;

    /**
     * Result of a soak test.
     *
     * @param counts counts by name
     * @param faults the faults that were injected, with their times
     * @param violations violated guarantees, empty if there were none
     */
    public record Outcome(Map<String, Long> counts, List<String> faults, List<String> violations) {}

    private FaultSoak(Path folder, long seed) throws IOException {
        mRandom = new Random(seed);
        mTargetRandom = new Random(~seed);
        mDeployment = HostedDeployment.start(folder, NODES, this::startProxy);
        mDeployment.addEngine("engine-new", "v2");
        for (TargetEmulator target : mDeployment.targets()) {
            target.registerPort(startProxy(target.port()));
        }
        mClients =
                new HostedClients(
                        mDeployment.nodes(), mDeployment.observations(), HostedDeployment.MODEL);
    }

    private int startProxy(int port) throws IOException {
        LoopbackProxy proxy = LoopbackProxy.to(port);
        mProxies.add(proxy);
        return proxy.port();
    }

    /**
     * Runs a soak test.
     *
     * @param folder where settings and logs are written
     * @param seed seed of the random generator that chooses the faults
     * @param durationMs time during which faults are injected, in milliseconds
     * @return its result
     * @throws IOException if a process cannot be started
     */
    public static Outcome run(Path folder, long seed, long durationMs) throws IOException {
        try (FaultSoak soak = new FaultSoak(folder, seed)) {
            return soak.execute(durationMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("the soak test was interrupted", e);
        }
    }

    private Outcome execute(long durationMs) throws IOException, InterruptedException {
        Thread quotes = start("quotes", this::sendQuotes);
        Thread trainer = start("trainer", this::runSteps);
        Thread targets = start("targets", this::injectTargetFaults);
        List<Thread> streams = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            streams.add(start("streams", this::readStreams));
        }
        long startMs = System.currentTimeMillis();
        while (System.currentTimeMillis() < startMs + durationMs) {
            injectFault(System.currentTimeMillis() - startMs);
            Thread.sleep(200L + mRandom.nextInt(1_500));
        }
        endFaults();
        mIsFinished = true;
        quotes.join();
        trainer.join();
        targets.join();
        for (Thread stream : streams) {
            stream.join();
        }
        for (GatewayNode node : mDeployment.nodes()) {
            if (!HostedDeployment.awaitReady(node, RECOVERY_TIMEOUT_MS)) {
                mDeployment
                        .observations()
                        .addViolation(node.name() + ": not ready after all faults ended");
            }
        }
        checkRecovery();
        return new Outcome(mClients.counts(), mFaults, mDeployment.observations().violations());
    }

    private static Thread start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // Traffic

    private void sendQuotes() {
        while (!mIsFinished) {
            mCallers.execute(mClients::sendQuote);
            sleep(QUOTE_INTERVAL_MS);
        }
    }

    private void readStreams() {
        for (int i = 0; !mIsFinished; i++) {
            new StreamClient(mDeployment.nodes(), mDeployment.observations(), i)
                    .read(STREAM_TIMEOUT_MS);
        }
    }

    private void runSteps() {
        for (int step = 0; !mIsFinished; step++) {
            mClients.runStep(step, Math.max(1, step), ITEMS, STEP_TIMEOUT_MS, STEP_TIMEOUT_MS);
            mDeployment.publishVersion(step + 2L);
        }
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // Faults

    private void injectFault(long atMs) throws IOException {
        int kind = mRandom.nextInt(FAULT_KINDS);
        GatewayNode node = mDeployment.nodes().get(mRandom.nextInt(NODES));
        LoopbackProxy proxy = mProxies.get(mRandom.nextInt(mProxies.size()));
        long lengthMs = 300L + mRandom.nextInt(3_000);
        mFaults.add(atMs + " ms: kind " + kind + " on " + node.name() + " for " + lengthMs + " ms");
        switch (kind) {
            case 0 -> restart(node, "KILL", lengthMs);
            case 1 -> restart(node, "TERM", lengthMs);
            case 2 -> injectDuring(lengthMs, () -> node.signal("STOP"), () -> node.signal("CONT"));
            case 3 -> node.signal("HUP");
            case 4 ->
                    injectDuring(
                            lengthMs,
                            () -> mDeployment.store().setDown(true),
                            () -> mDeployment.store().setDown(false));
            case 5 ->
                    injectDuring(
                            lengthMs,
                            () -> mDeployment.store().loseOneResponseIn(3),
                            () -> mDeployment.store().loseOneResponseIn(0));
            case 6 -> mDeployment.store().dropHistory();
            case 7 -> proxy.stallConnections();
            case 8 -> proxy.resetConnections();
            case 9 ->
                    injectDuring(
                            lengthMs,
                            () -> proxy.dropTraffic(mRandom.nextBoolean(), true),
                            proxy::clearFaults);
            case 10 ->
                    injectDuring(
                            lengthMs,
                            () -> proxy.setDelay(50L + mRandom.nextInt(200)),
                            proxy::clearFaults);
            case 11 -> {
                long offsetMs =
                        mRandom.nextInt(2 * MAX_CLOCK_OFFSET_MS) - (long) MAX_CLOCK_OFFSET_MS;
                injectDuring(
                        lengthMs,
                        () -> node.setClockOffset(offsetMs),
                        () -> node.setClockOffset(0));
            }
            case 12 -> {
                TargetEmulator target = anyTarget(mRandom);
                injectDuring(lengthMs, () -> target.failOneIn(2), () -> target.failOneIn(0));
            }
            default -> {
                TargetEmulator target = anyTarget(mRandom);
                injectDuring(
                        lengthMs, () -> target.truncateOneIn(4), () -> target.truncateOneIn(0));
            }
        }
    }

    /** Has targets crash, limit their requests, or meet a request that crashes them. */
    private void injectTargetFaults() {
        while (!mIsFinished) {
            sleep(500L + mTargetRandom.nextInt(3_000));
            TargetEmulator target = anyTarget(mTargetRandom);
            long lengthMs = 300L + mTargetRandom.nextInt(3_000);
            switch (mTargetRandom.nextInt(TARGET_FAULT_KINDS)) {
                case 0 -> target.crash();
                case 1 -> mCallers.execute(mClients::sendCrashingRequest);
                default -> {
                    double limitPerS = 1 + mTargetRandom.nextInt(8);
                    injectDuring(lengthMs, () -> target.nameLimit(limitPerS), target::endLimit);
                }
            }
        }
    }

    private TargetEmulator anyTarget(Random random) {
        return mDeployment.targets().get(random.nextInt(mDeployment.targets().size()));
    }

    /** Starts a fault and ends it later on another thread, so that faults can overlap. */
    private static void injectDuring(long lengthMs, Runnable inject, Runnable clear) {
        inject.run();
        start(
                "end-of-fault",
                () -> {
                    sleep(lengthMs);
                    clear.run();
                });
    }

    private static void restart(GatewayNode node, String signal, long lengthMs) {
        start(
                "restart",
                () -> {
                    synchronized (node) {
                        node.signal("CONT");
                        node.signal(signal);
                        if (!node.awaitExit(RECOVERY_TIMEOUT_MS)) {
                            node.signal("KILL");
                            node.awaitExit(RECOVERY_TIMEOUT_MS);
                        }
                        sleep(lengthMs);
                        try {
                            node.launch();
                        } catch (IOException e) {
                            throw new java.io.UncheckedIOException(e);
                        }
                    }
                });
    }

    private void endFaults() throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(4_000);
        mProxies.forEach(LoopbackProxy::clearFaults);
        mDeployment.store().setDown(false);
        mDeployment.store().loseOneResponseIn(0);
        mDeployment.nodes().forEach(node -> node.signal("CONT"));
    }

    /** Checks that after all faults have ended, all quotes succeed and a step completes on time. */
    private void checkRecovery() throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(3_000);
        Map<String, Long> before = mClients.counts();
        for (int i = 0; i < FINAL_QUOTES; i++) {
            mClients.sendQuote();
        }
        mClients.runStep(1_000, 1, ITEMS, STEP_TIMEOUT_MS, STEP_TIMEOUT_MS);
        Map<String, Long> after = mClients.counts();
        long quotes = after.get("quotes_answered") - before.get("quotes_answered");
        long steps = after.get("steps_on_time") - before.get("steps_on_time");
        if (quotes < FINAL_QUOTES || steps < 1) {
            mDeployment
                    .observations()
                    .addViolation(
                            "after all faults: " + quotes + " quotes and " + steps + " steps");
        }
    }

    @Override
    public void close() throws IOException {
        mIsFinished = true;
        mCallers.shutdownNow();
        mDeployment.close();
        for (LoopbackProxy proxy : mProxies) {
            proxy.close();
        }
    }
}
