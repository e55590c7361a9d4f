package dev.cactusspan.batch;

import dev.cactusspan.fleet.DesiredState;
import dev.cactusspan.fleet.TargetChooser;
import dev.cactusspan.fleet.TargetPort;
import dev.cactusspan.fleet.TargetTable;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.peer.NodeDirectory;
import dev.cactusspan.routing.Backoff;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Puts a {@link BatchManager} together. */
public final class BatchManagerFactory {
    private BatchManagerFactory() {}

    /**
     * What a desk needs of its process.
     *
     * @param store the durable records
     * @param nodes the processes that are alive
     * @param owner the name of this process as an owner
     * @param thread the thread on which everything happens
     * @param targets the targets
     * @param port sends to targets
     * @param chooser chooses among targets
     * @param desired gives the desired state in force
     * @param telemetry metrics
     * @param backoff delays after failures of the store
     * @param nowMs steady clock in milliseconds
     * @param wallMs wall clock in milliseconds
     */
    public record Dependencies(
            BatchStore store,
            NodeDirectory nodes,
            String owner,
            Executor thread,
            TargetTable targets,
            TargetPort port,
            TargetChooser chooser,
            Supplier<Optional<DesiredState>> desired,
            Telemetry telemetry,
            Backoff backoff,
            LongSupplier nowMs,
            LongSupplier wallMs) {}

    /**
     * Creates a desk.
     *
     * @param dependencies what it needs
     * @return the desk
     */
    public static BatchManager create(Dependencies dependencies) {
        ItemRunner runner =
                new ItemRunner(
                        dependencies.targets(),
                        dependencies.port(),
                        dependencies.chooser(),
                        dependencies.desired(),
                        dependencies.telemetry(),
                        dependencies.nowMs(),
                        dependencies.wallMs());
        return new BatchManager(
                dependencies.store(),
                dependencies.nodes(),
                dependencies.owner(),
                dependencies.thread(),
                runner,
                onOwnershipLost ->
                        new ResultAppender(
                                dependencies.store(),
                                dependencies.thread(),
                                dependencies.backoff(),
                                dependencies.nowMs(),
                                onOwnershipLost),
                new ProgressSaver(
                        dependencies.store(), dependencies.thread(), dependencies.nowMs()),
                dependencies.nowMs());
    }
}
