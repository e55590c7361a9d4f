package dev.cactusspan.benchmark;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** Runs the experiments on policies, each against a baseline policy of this project. */
public final class PolicyExperiments {
    private PolicyExperiments() {}

    /**
     * Runs experiments.
     *
     * @param args names of experiments; all of them if none is given
     */
    public static void main(String[] args) {
        Map<String, Consumer<PrintStream>> experiments = new LinkedHashMap<>();
        experiments.put("queue", QueueExperiment::run);
        experiments.put("routing", RoutingExperiment::run);
        experiments.put("retry", RetryExperiment::run);
        experiments.put("hedge", HedgeExperiment::run);
        experiments.put("scaling", ScalingExperiment::run);
        experiments.put("freshness", FreshnessExperiment::run);
        experiments.put("claim", ClaimExperiment::run);
        experiments.put("capacity", CapacityExperiment::run);
        Set<String> selected = args.length == 0 ? experiments.keySet() : Set.of(args);
        for (String name : selected) {
            if (!experiments.containsKey(name)) {
                System.err.println("unknown experiment " + name + "; " + experiments.keySet());
                System.exit(2);
            }
            experiments.get(name).accept(System.out);
            System.out.println();
        }
    }
}
