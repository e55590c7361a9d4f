package dev.cactusspan.batch;

import dev.cactusspan.fleet.DesiredState;
import dev.cactusspan.fleet.ResidencyRule;
import dev.cactusspan.fleet.TargetChooser;
import dev.cactusspan.fleet.TargetPort;
import dev.cactusspan.fleet.TargetTable;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.peer.NodeDirectory;
import dev.cactusspan.routing.Backoff;
import dev.cactusspan.time.WallClock;
import dev.cactusspan.waiting.Ranks;
import dev.cactusspan.waiting.ServiceLines;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Creates a {@link BatchManager} with its components. */
public final class BatchManagerFactory {
    private BatchManagerFactory() {}

    /**
     * The dependencies of a manager.
     *
     * @param store the durable records
     * @param nodes directory of the live processes
     * @param owner the name of this process as an owner
     * @param thread the single thread on which all calls and callbacks run
     * @param targets the targets
     * @param port sends requests to targets
     * @param chooser selects a target for each request
     * @param lines the lines in which work waits
     * @param ranks the ranks of work
     * @param desired supplies the desired state in force
     * @param telemetry metrics
     * @param backoff retry delays after store failures
     * @param nowMs monotonic clock in milliseconds
     * @param wallClock the time of day
     */
    public record Dependencies(
            BatchStore store,
            NodeDirectory nodes,
            String owner,
            Executor thread,
            TargetTable targets,
            TargetPort port,
            TargetChooser chooser,
            ServiceLines lines,
            Ranks ranks,
            Supplier<Optional<DesiredState>> desired,
            Telemetry telemetry,
            Backoff backoff,
            LongSupplier nowMs,
            WallClock wallClock) {}

    /**
     * Creates a manager.
     *
     * @param dependencies its dependencies
     * @return the manager
     */
    public static BatchManager create(Dependencies dependencies) {
        ResidencyRule residency = new ResidencyRule(dependencies.desired());
        ItemRunner runner =
                new ItemRunner(
                        dependencies.targets(),
                        dependencies.port(),
                        dependencies.chooser(),
                        new ItemScorer(
                                dependencies.targets(),
                                dependencies.port(),
                                dependencies.chooser(),
                                dependencies.desired(),
                                dependencies.nowMs()),
                        residency,
                        dependencies.lines(),
                        dependencies.ranks(),
                        dependencies.telemetry(),
                        dependencies.nowMs());
        return new BatchManager(
                dependencies.store(),
                dependencies.nodes(),
                dependencies.owner(),
                dependencies.thread(),
                runner,
                ownerKeys ->
                        new ResultAppender(
                                dependencies.store(),
                                dependencies.thread(),
                                dependencies.backoff(),
                                dependencies.nowMs(),
                                ownerKeys),
                new ProgressSaver(
                        dependencies.store(), dependencies.thread(), dependencies.nowMs()),
                new BatchAge(dependencies.nowMs(), dependencies.wallClock()),
                new BatchHomes(dependencies.targets(), dependencies.nodes(), residency),
                dependencies.nowMs());
    }
}
