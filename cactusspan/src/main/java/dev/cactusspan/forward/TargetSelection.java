package dev.cactusspan.forward;

import dev.cactusspan.fleet.ResidencyRule;
import dev.cactusspan.fleet.TargetChooser;
import dev.cactusspan.fleet.TargetState;
import dev.cactusspan.fleet.TargetTable;
import dev.cactusspan.region.Residency;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Selects the target of a request: within its regions, where its stream began if it resumes one,
 * and at another target than before if there is one.
 */
final class TargetSelection {
    private final TargetTable mTargets;
    private final TargetChooser mChooser;
    private final StreamOrigins mOrigins;
    private final ResidencyRule mResidency;

    TargetSelection(
            TargetTable targets,
            TargetChooser chooser,
            StreamOrigins origins,
            ResidencyRule residency) {
        mTargets = targets;
        mChooser = chooser;
        mOrigins = origins;
        mResidency = residency;
    }

    Optional<TargetState> choose(ForwardedRequest pending, long nowMs) {
        List<TargetState> serving =
                mTargets.candidates(
                        pending.service(), residency(pending), nowMs, t -> mayRun(pending, t));
        List<TargetState> untried = new ArrayList<>(serving);
        untried.removeIf(t -> pending.triedTargets().contains(t.record().id()));
        return mChooser.choose(untried.isEmpty() ? serving : untried, nowMs);
    }

    private boolean mayRun(ForwardedRequest pending, TargetState target) {
        return !pending.route().isResumable()
                || pending.origin()
                        .map(origin -> origin.equals(StreamOrigin.of(target.record())))
                        .orElseGet(() -> mOrigins.mayBegin(pending.route(), target.record()));
    }

    /** Tells whether the stream that a request resumes can go on at no target any more. */
    boolean isStreamUnservable(ForwardedRequest pending) {
        return pending.origin().isPresent()
                && !mTargets.isServing(
                        pending.service(), residency(pending), t -> mayRun(pending, t));
    }

    /** Returns why a request is refused at once, empty unless its regions have no target. */
    Optional<Failure> outsideRegions(ForwardedRequest pending) {
        Residency residency = residency(pending);
        return !residency.isBound() || mTargets.isServing(pending.service(), residency, t -> true)
                ? Optional.empty()
                : Optional.of(
                        Failure.of(
                                ErrorKind.NO_TARGET_IN_REGION,
                                "no target of " + pending.service() + " in " + residency));
    }

    /** Returns the expected time until a permit, if all targets of a request limit theirs. */
    OptionalLong permitWaitMs(ForwardedRequest pending, long nowMs) {
        return mTargets.permitWaitMs(pending.service(), residency(pending), nowMs);
    }

    /** Returns the regions in which a request may run now. */
    private Residency residency(ForwardedRequest pending) {
        return mResidency.of(pending.route(), pending.account());
    }
}
