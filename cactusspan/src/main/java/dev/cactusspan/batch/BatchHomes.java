package dev.cactusspan.batch;

import dev.cactusspan.fleet.ResidencyRule;
import dev.cactusspan.fleet.TargetTable;
import dev.cactusspan.peer.NodeDirectory;
import dev.cactusspan.region.Residency;

/**
 * Decides where a batch that is bound to regions may be accepted and taken over. A new owner reads
 * the bodies of the items, so it is a process in these regions. Load pattern: the owner of a batch
 * is killed, and the process that sweeps for such batches is in another region.
 */
final class BatchHomes {
    private final TargetTable mTargets;
    private final NodeDirectory mNodes;
    private final ResidencyRule mResidency;

    BatchHomes(TargetTable targets, NodeDirectory nodes, ResidencyRule residency) {
        mTargets = targets;
        mNodes = nodes;
        mResidency = residency;
    }

    /** Returns a batch that is submitted now, bound to the regions that its route names. */
    Batch bind(Batch submitted) {
        return submitted.withResidency(
                mResidency.of(submitted.route(), submitted.account(), submitted.residency()));
    }

    /** Tells whether a batch is bound to regions in which no target of its service serves. */
    boolean isUnserved(Batch batch) {
        return batch.residency().isBound()
                && !mTargets.isServing(batch.service(), batch.residency(), t -> true);
    }

    /** Tells whether a process is the one that takes over an abandoned batch. */
    boolean isNextOwner(String process, BatchOwnership abandoned) {
        Residency residency = residency(abandoned);
        return mNodes.choose(
                        NodeDirectory.SWEEPER,
                        node -> mTargets.regions().allows(residency, node.zone()))
                .filter(process::equals)
                .isPresent();
    }

    /** Returns the regions to which a batch is bound now. */
    Residency residency(BatchOwnership ownership) {
        return mResidency.of(ownership.route(), ownership.account(), ownership.residency());
    }
}
