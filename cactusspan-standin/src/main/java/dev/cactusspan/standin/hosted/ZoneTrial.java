package dev.cactusspan.standin.hosted;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Runs several real processes before targets in two availability zones of two regions, while
 * operators bind routes to a region, evacuate a zone, or a target returns cold.
 */
public final class ZoneTrial {
    private static final int NODES = 3;
    private static final int CALLERS = 16;
    private static final int ITEMS = 16;
    private static final int QUOTES = 40;
    private static final double COLD_PER_S = 4;
    private static final long COLD_MS = 5_000;

    /** Time within which a process follows what operators and targets write, in milliseconds. */
    private static final long FOLLOW_MS = 5_000;

    private static final long STEP_TIMEOUT_MS = 15_000;
    private static final long OBSERVED_MS = 2_500;

    private ZoneTrial() {}

    /**
     * Result of a trial.
     *
     * @param counts counts of quotes and steps by name
     * @param forbidden requests that reached targets where nothing may be sent
     * @param elsewhere requests that reached the other targets meanwhile
     * @param afterwards requests that reached the former targets once they may be used again
     * @param status status of a quote that has nowhere to go, zero if none was sent
     * @param violations violated guarantees
     */
    public record Outcome(
            Map<String, Long> counts,
            int forbidden,
            int elsewhere,
            int afterwards,
            int status,
            List<String> violations) {}

    /** A part of a trial, which a deployment and its clients run through. */
    private interface Part {
        Outcome run(HostedDeployment deployment, HostedClients clients) throws InterruptedException;
    }

    private static Outcome run(Path folder, Part part) throws IOException {
        try (HostedDeployment deployment =
                HostedDeployment.start(folder, NODES, HostedDeployment.StoreProxy.NONE)) {
            for (String id : List.of("engine-1", "engine-2", "app-1")) {
                deployment.target(id).placeIn("zone-b");
            }
            HostedClients clients =
                    new HostedClients(
                            deployment.nodes(), deployment.observations(), HostedDeployment.MODEL);
            return part.run(deployment, clients);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("the trial was interrupted", e);
        }
    }

    /**
     * Binds all routes to the region of zone b, then to one without targets.
     *
     * @param folder where settings and logs are written
     * @return its result; forbidden are requests at targets of zone a
     * @throws IOException if a process cannot be started
     */
    public static Outcome bindToRegion(Path folder) throws IOException {
        return run(
                folder,
                (deployment, clients) -> {
                    deployment.publishDesiredState(4, List.of("region-b"), 0);
                    TimeUnit.MILLISECONDS.sleep(FOLLOW_MS);
                    int forbidden = requests(deployment, "zone-a");
                    int elsewhere = requests(deployment, "zone-b");
                    for (int i = 0; i < QUOTES; i++) {
                        clients.sendQuote();
                    }
                    clients.runStep(0, 1, ITEMS, STEP_TIMEOUT_MS, STEP_TIMEOUT_MS);
                    forbidden = requests(deployment, "zone-a") - forbidden;
                    elsewhere = requests(deployment, "zone-b") - elsewhere;
                    deployment.publishDesiredState(5, List.of("region-c"), 0);
                    TimeUnit.MILLISECONDS.sleep(FOLLOW_MS);
                    return new Outcome(
                            clients.counts(),
                            forbidden,
                            elsewhere,
                            0,
                            clients.sendQuoteOnce(),
                            deployment.observations().violations());
                });
    }

    /**
     * Evacuates zone a, which gets nearly all requests, and takes it back.
     *
     * @param folder where settings and logs are written
     * @return its result; forbidden are requests at targets of zone a while it is evacuated
     * @throws IOException if a process cannot be started
     */
    public static Outcome evacuate(Path folder) throws IOException {
        return run(
                folder,
                (deployment, clients) -> {
                    AtomicBoolean isOver = new AtomicBoolean();
                    ExecutorService callers = startCallers(clients, isOver);
                    try {
                        TimeUnit.MILLISECONDS.sleep(OBSERVED_MS);
                        deployment.store().put("op/evacuate/zone-a", Map.of());
                        TimeUnit.MILLISECONDS.sleep(FOLLOW_MS);
                        int forbidden = requests(deployment, "zone-a");
                        int elsewhere = requests(deployment, "zone-b");
                        TimeUnit.MILLISECONDS.sleep(OBSERVED_MS);
                        forbidden = requests(deployment, "zone-a") - forbidden;
                        elsewhere = requests(deployment, "zone-b") - elsewhere;
                        deployment.store().delete("op/evacuate/zone-a");
                        int afterwards = requests(deployment, "zone-a");
                        TimeUnit.MILLISECONDS.sleep(FOLLOW_MS);
                        afterwards = requests(deployment, "zone-a") - afterwards;
                        stop(callers, isOver);
                        return new Outcome(
                                clients.counts(),
                                forbidden,
                                elsewhere,
                                afterwards,
                                0,
                                deployment.observations().violations());
                    } finally {
                        callers.shutdownNow();
                    }
                });
    }

    /**
     * Has a target leave and return cold.
     *
     * @param folder where settings and logs are written
     * @return its result; elsewhere are requests at the target while it is cold
     * @throws IOException if a process cannot be started
     */
    public static Outcome returnCold(Path folder) throws IOException {
        return run(
                folder,
                (deployment, clients) -> {
                    deployment.publishDesiredState(4, List.of(), COLD_PER_S);
                    TargetEmulator target = deployment.target("app-0");
                    target.leaveList();
                    TimeUnit.MILLISECONDS.sleep(FOLLOW_MS);
                    AtomicBoolean isOver = new AtomicBoolean();
                    ExecutorService callers = startCallers(clients, isOver);
                    try {
                        TimeUnit.MILLISECONDS.sleep(OBSERVED_MS);
                        int whileCold = target.requestCount();
                        target.returnCold(COLD_MS, COLD_PER_S);
                        TimeUnit.MILLISECONDS.sleep(COLD_MS);
                        whileCold = target.requestCount() - whileCold;
                        int afterwards = target.requestCount();
                        TimeUnit.MILLISECONDS.sleep(FOLLOW_MS);
                        afterwards = target.requestCount() - afterwards;
                        stop(callers, isOver);
                        return new Outcome(
                                clients.counts(),
                                0,
                                whileCold,
                                afterwards,
                                0,
                                deployment.observations().violations());
                    } finally {
                        callers.shutdownNow();
                    }
                });
    }

    private static ExecutorService startCallers(HostedClients clients, AtomicBoolean isOver) {
        ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
        for (int i = 0; i < CALLERS; i++) {
            callers.execute(
                    () -> {
                        while (!isOver.get()) {
                            clients.sendQuote();
                        }
                    });
        }
        return callers;
    }

    private static void stop(ExecutorService callers, AtomicBoolean isOver)
            throws InterruptedException {
        isOver.set(true);
        callers.shutdown();
        callers.awaitTermination(STEP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private static int requests(HostedDeployment deployment, String zone) {
        return deployment.targets().stream()
                .filter(t -> t.zone().equals(zone))
                .mapToInt(TargetEmulator::requestCount)
                .sum();
    }
}
