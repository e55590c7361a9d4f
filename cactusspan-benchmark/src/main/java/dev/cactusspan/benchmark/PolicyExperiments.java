package dev.cactusspan.benchmark;

/** Runs the experiments on policies, each against the project's own baseline. */
public final class PolicyExperiments {
    private PolicyExperiments() {}

    /**
     * Runs all experiments.
     *
     * @param args not used
     */
    public static void main(String[] args) {
        QueueExperiment.run(System.out);
        System.out.println();
        RoutingExperiment.run(System.out);
        System.out.println();
        RetryExperiment.run(System.out);
        System.out.println();
        HedgeExperiment.run(System.out);
        System.out.println();
        ScalingExperiment.run(System.out);
        System.out.println();
        FreshnessExperiment.run(System.out);
    }
}
