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

/** Puts a {@link BatchDesk} together. */
public final class BatchDesks {
    private BatchDesks() {}

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
    public record Needs(
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
     * @param needs what it needs
     * @return the desk
     */
    public static BatchDesk create(Needs needs) {
        ItemRunner runner =
                new ItemRunner(
                        needs.targets(),
                        needs.port(),
                        needs.chooser(),
                        needs.desired(),
                        needs.telemetry(),
                        needs.nowMs(),
                        needs.wallMs());
        return new BatchDesk(
                needs.store(),
                needs.nodes(),
                needs.owner(),
                needs.thread(),
                runner,
                onDisowned ->
                        new ResultAppender(
                                needs.store(),
                                needs.thread(),
                                needs.backoff(),
                                needs.nowMs(),
                                onDisowned),
                new ProgressSaver(needs.store(), needs.thread(), needs.nowMs()),
                needs.nowMs());
    }
}
