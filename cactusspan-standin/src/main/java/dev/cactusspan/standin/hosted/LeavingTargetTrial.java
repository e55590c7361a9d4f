package dev.cactusspan.standin.hosted;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;

/**
 * Sends quotes one after another through several real processes while a target says in its
 * responses that it leaves, and its entry in the store does not.
 */
public final class LeavingTargetTrial {
    /** Number of processes; each may learn that the target leaves from one response. */
    public static final int NODES = 3;

    private static final int QUOTES = 60;

    private LeavingTargetTrial() {}

    /**
     * Result of a trial.
     *
     * @param counts counts of quotes by name
     * @param requestsWhileLeaving requests that reached the target after it began to say so
     */
    public record Outcome(Map<String, Long> counts, int requestsWhileLeaving) {}

    /**
     * Runs the trial.
     *
     * @param folder where settings and logs are written
     * @return its result
     * @throws IOException if a process cannot be started
     */
    public static Outcome run(Path folder) throws IOException {
        try (HostedDeployment deployment =
                HostedDeployment.start(folder, NODES, HostedDeployment.StoreProxy.NONE)) {
            HostedClients clients =
                    new HostedClients(
                            deployment.nodes(), deployment.observations(), HostedDeployment.MODEL);
            TargetEmulator target = deployment.target("app-0");
            target.sayLeaving();
            for (int i = 0; i < QUOTES; i++) {
                clients.sendQuote();
            }
            return new Outcome(clients.counts(), target.requestsWhileLeaving());
        }
    }
}
