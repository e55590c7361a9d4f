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
 * A randomized soak over real processes: clients call and a trainer trains while a seed's faults
 * are injected from outside. Promises are checked all the while; at the end, with all faults gone,
 * the system must serve again.
 */
public final class FaultSoak implements AutoCloseable {
    private static final int NODES = 3;
    private static final int ITEMS = 12;
    private static final int CALLERS = 4;
    private static final long QUOTE_EVERY_MS = 120;
    private static final long STEP_BOUND_MS = 15_000;
    private static final long RECOVER_MS = 12_000;
    private static final int LAST_QUOTES = 20;
    private static final int KINDS = 14;

    /** A clock jumps by this much at most, ahead or back, in milliseconds. */
    private static final int MAX_SHIFT_MS = 8_000;

    private final Random mRandom;
    private final List<LoopbackProxy> mProxies = new ArrayList<>();
    private final HostedDeployment mDeployment;
    private final HostedClients mClients;
    private final ExecutorService mCallers = Executors.newFixedThreadPool(CALLERS);
    private final List<String> mFaults = new ArrayList<>();
    private volatile boolean mIsOver;

    /**
     * What came of a soak.
     *
     * @param counts counts by name
     * @param faults the faults that were injected, with their times
     * @param violations broken promises, empty if all were kept
     */
    public record Outcome(Map<String, Long> counts, List<String> faults, List<String> violations) {}

    private FaultSoak(Path folder, long seed) throws IOException {
        mRandom = new Random(seed);
        mDeployment = HostedDeployment.start(folder, NODES, this::proxy);
        for (TargetEmulator target : mDeployment.targets()) {
            target.registerPort(proxy(target.port()));
        }
        mClients =
                new HostedClients(
                        mDeployment.nodes(), mDeployment.observations(), HostedDeployment.MODEL);
    }

    private int proxy(int port) throws IOException {
        LoopbackProxy proxy = LoopbackProxy.to(port);
        mProxies.add(proxy);
        return proxy.port();
    }

    /**
     * Runs a soak.
     *
     * @param folder where settings and logs are written
     * @param seed decides the faults
     * @param durationMs how long faults are injected
     * @return what came of it
     * @throws IOException if a process cannot be started
     */
    public static Outcome run(Path folder, long seed, long durationMs) throws IOException {
        try (FaultSoak soak = new FaultSoak(folder, seed)) {
            return soak.play(durationMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("the soak was interrupted", e);
        }
    }

    private Outcome play(long durationMs) throws IOException, InterruptedException {
        Thread quotes = start("quotes", this::quotes);
        Thread trainer = start("trainer", this::train);
        long startMs = System.currentTimeMillis();
        while (System.currentTimeMillis() < startMs + durationMs) {
            fault(System.currentTimeMillis() - startMs);
            Thread.sleep(200L + mRandom.nextInt(1_500));
        }
        calm();
        mIsOver = true;
        quotes.join();
        trainer.join();
        for (GatewayNode node : mDeployment.nodes()) {
            if (!HostedDeployment.awaitReady(node, RECOVER_MS)) {
                mDeployment
                        .observations()
                        .addViolation(node.name() + ": not ready after all faults ended");
            }
        }
        serveAgain();
        return new Outcome(mClients.counts(), mFaults, mDeployment.observations().violations());
    }

    private static Thread start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // Traffic

    private void quotes() {
        while (!mIsOver) {
            mCallers.execute(mClients::sendQuote);
            sleep(QUOTE_EVERY_MS);
        }
    }

    private void train() {
        for (int step = 0; !mIsOver; step++) {
            mClients.runStep(step, Math.max(1, step), ITEMS, STEP_BOUND_MS, STEP_BOUND_MS);
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

    private void fault(long atMs) throws IOException {
        int kind = mRandom.nextInt(KINDS);
        GatewayNode node = mDeployment.nodes().get(mRandom.nextInt(NODES));
        LoopbackProxy proxy = mProxies.get(mRandom.nextInt(mProxies.size()));
        long forMs = 300L + mRandom.nextInt(3_000);
        mFaults.add(atMs + " ms: kind " + kind + " on " + node.name() + " for " + forMs + " ms");
        switch (kind) {
            case 0 -> restart(node, "KILL", forMs);
            case 1 -> restart(node, "TERM", forMs);
            case 2 -> during(forMs, () -> node.signal("STOP"), () -> node.signal("CONT"));
            case 3 -> node.signal("HUP");
            case 4 ->
                    during(
                            forMs,
                            () -> mDeployment.store().setDown(true),
                            () -> mDeployment.store().setDown(false));
            case 5 ->
                    during(
                            forMs,
                            () -> mDeployment.store().loseOneResponseIn(3),
                            () -> mDeployment.store().loseOneResponseIn(0));
            case 6 -> mDeployment.store().dropHistory();
            case 7 -> proxy.stallConnections();
            case 8 -> proxy.resetConnections();
            case 9 ->
                    during(
                            forMs,
                            () -> proxy.dropTraffic(mRandom.nextBoolean(), true),
                            proxy::clearFaults);
            case 10 ->
                    during(
                            forMs,
                            () -> proxy.setDelay(50L + mRandom.nextInt(200)),
                            proxy::clearFaults);
            case 11 -> {
                long shiftMs = mRandom.nextInt(2 * MAX_SHIFT_MS) - (long) MAX_SHIFT_MS;
                during(forMs, () -> node.setClockOffset(shiftMs), () -> node.setClockOffset(0));
            }
            case 12 -> {
                TargetEmulator target = anyTarget();
                during(forMs, () -> target.failOneIn(2), () -> target.failOneIn(0));
            }
            default -> {
                TargetEmulator target = anyTarget();
                during(forMs, () -> target.truncateOneIn(4), () -> target.truncateOneIn(0));
            }
        }
    }

    private TargetEmulator anyTarget() {
        return mDeployment.targets().get(mRandom.nextInt(mDeployment.targets().size()));
    }

    /** Begins a fault and ends it later, so that faults overlap. */
    private static void during(long forMs, Runnable begin, Runnable end) {
        begin.run();
        start(
                "end-of-fault",
                () -> {
                    sleep(forMs);
                    end.run();
                });
    }

    private static void restart(GatewayNode node, String signal, long forMs) {
        start(
                "restart",
                () -> {
                    synchronized (node) {
                        node.signal("CONT");
                        node.signal(signal);
                        if (!node.awaitExit(RECOVER_MS)) {
                            node.signal("KILL");
                            node.awaitExit(RECOVER_MS);
                        }
                        sleep(forMs);
                        try {
                            node.launch();
                        } catch (IOException e) {
                            throw new java.io.UncheckedIOException(e);
                        }
                    }
                });
    }

    private void calm() throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(4_000);
        mProxies.forEach(LoopbackProxy::clearFaults);
        mDeployment.store().setDown(false);
        mDeployment.store().loseOneResponseIn(0);
        mDeployment.nodes().forEach(node -> node.signal("CONT"));
    }

    /** With all faults gone, quotes must be answered and a step must be whole. */
    private void serveAgain() throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(3_000);
        Map<String, Long> before = mClients.counts();
        for (int i = 0; i < LAST_QUOTES; i++) {
            mClients.sendQuote();
        }
        mClients.runStep(1_000, 1, ITEMS, STEP_BOUND_MS, STEP_BOUND_MS);
        Map<String, Long> after = mClients.counts();
        long quotes = after.get("quotes_answered") - before.get("quotes_answered");
        long steps = after.get("steps_on_time") - before.get("steps_on_time");
        if (quotes < LAST_QUOTES || steps < 1) {
            mDeployment
                    .observations()
                    .addViolation(
                            "after all faults: " + quotes + " quotes and " + steps + " steps");
        }
    }

    @Override
    public void close() throws IOException {
        mIsOver = true;
        mCallers.shutdownNow();
        mDeployment.close();
        for (LoopbackProxy proxy : mProxies) {
            proxy.close();
        }
    }
}
